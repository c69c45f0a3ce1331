//! Membership and failure detection: which targets and entry VMs exist, the state of each,
//! and the gossip by which entry VMs exchange it.
export {
  FleetView,
  loadReportSchema,
  TargetState,
  type LoadReport,
  type TargetView,
} from "./fleet-view.js";
export { deriveTargetState, type TargetEvidence } from "./target-state.js";
export { GossipState, type GossipDigest, type GossipEntry } from "./gossip-state.js";
export { gossipPeers, isProber } from "./probe-and-gossip-assignment.js";
export { ThroughputMeter } from "./throughput-meter.js";
export { FleetTracker, type LeavingNotice } from "./fleet-tracker.js";
export { ClusterMembership, type EntryVmStatus } from "./cluster-membership.js";
export { gossipDigestSchema, gossipEntriesSchema } from "./facts.js";
