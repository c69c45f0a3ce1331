//! Limits that keep queues short and seen: admission by deadline, workspace
//! shares and retry budgets.
export { AdmissionQueue, type Admission, type AdmissionRequest } from "./admission-queue.js";
export { Priority } from "./priority.js";
export { shareOut, type Demand } from "./workspace-shares.js";
export { RetryBudget } from "./retry-budget.js";
export { nextCapacity, type CapacityReading } from "./capacity-control.js";
export { DemandMeter } from "./demand-meter.js";
export { DecayingRate } from "./decaying-rate.js";
export { RepeatBudget, RepeatNeed, type RepeatBudgetTerms } from "./repeat-budget.js";
