//! Orders engines to load the model version that the settings specify. Only the holder of a
//! lease sends orders, and each order carries the lease's fencing number (fencing token), so
//! that engines can reject the orders of an earlier holder.
export { Lease, type LeaseOptions } from "./lease.js";
export { planLoads, type EngineLoadState, type LoadPlan } from "./load-plan.js";
export { reconcileVersions, type ManagedEngine, type DesiredState } from "./reconcile.js";
