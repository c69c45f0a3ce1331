//! Membership and failure detection: which targets and entry VMs exist, the state of each,
//! and the gossip by which entry VMs exchange it.
export {
  FleetView,
  loadReport,
  TargetState,
  type LoadReport,
  type TargetView,
} from "./fleet-view.js";
export { deriveTargetState, type TargetEvidence } from "./target-evidence.js";
export { GossipState, type GossipDigest, type GossipEntry } from "./gossip-state.js";
export { gossipPeers, isProber } from "./duties.js";
export { StepMeter } from "./step-meter.js";
export { FleetTracker, type LeavingNotice } from "./fleet-tracker.js";
export { Neighbourhood, type EntryVmStatus } from "./neighbourhood.js";
export { gossipDigest, gossipEntries } from "./facts.js";
