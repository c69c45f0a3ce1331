//! Orders to engines, given under a lease with a fencing number.
export { Lease, type LeaseOptions } from "./lease.js";
export { planLoads, type EngineVersion, type LoadPlan } from "./load-plan.js";
export { reconcileVersions, type OrderTaker, type WantedVersion } from "./reconcile.js";
