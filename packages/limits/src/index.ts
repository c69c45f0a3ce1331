//! Overload protection: admission control with deadlines, an adaptive concurrency limit, fair
//! shares for workspaces, and retry budgets.
export { LinkBudget, type LinkTransfer } from "./link-budget.js";
export { AdmissionOrder, FairAdmissions } from "./admissions.js";
export type {
  AdmissionDecision,
  FairAdmissionRequest,
  DecidedAdmission,
  EngineAdmission,
} from "./engine-admission.js";
export { FairAdmission } from "./fair-admission.js";
export { PriorityAdmission } from "./priority-admission.js";
export { ReturnSchedule } from "./return-schedule.js";
export { OverloadCause, type Overload } from "./capacity-limit.js";
export { sharePriorities, type PriorityDemand, type PriorityShare } from "./priority-shares.js";
export { AdmissionQueue, type Admission, type AdmissionRequest } from "./admission-queue.js";
export { Priority } from "./priority.js";
export { allocateCapacity, type WorkspaceDemand } from "./workspace-shares.js";
export { RetryBudget } from "./retry-budget.js";
export { adjustCapacity, type CapacityReading } from "./capacity-control.js";
export { DemandMeter } from "./demand-meter.js";
export { NamedLimits, type NamedLimit } from "./named-limits.js";
export {
  getGrantSize,
  HeldGrants,
  RequestGranter,
  type Grant,
  type LocalGrant,
} from "./request-grants.js";
export { DecayingRate } from "./decaying-rate.js";
export {
  SharedRetryBudget,
  RetryPurpose,
  type RetryDecision,
  type RetryNeed,
  type SharedRetryBudgetOptions,
} from "./shared-retry-budget.js";
