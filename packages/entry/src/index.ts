//! The entry VM: a reverse proxy that routes requests by host and path to targets. This
//! package assembles it from the other packages.
export { AdmissionOrder } from "@lovagebend/limits";
export { startEntryVm, type RunningEntryVm } from "./entry-vm.js";
export type {
  Address,
  EntryDependencies,
  EntryIdentity,
  EntryLimits,
  TableNames,
} from "./entry-dependencies.js";
export {
  createCallerLimits,
  megabyte,
  type CallerLimits,
  type CallerLimitSettings,
  type MachineSize,
} from "./caller-limits.js";
export { openBoundedLogOutput, type BoundedLogOutput } from "./bounded-log-output.js";
