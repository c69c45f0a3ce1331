//! Which targets and entry VMs there are, what state they are in, and how the
//! entry VMs tell each other.
export {
  FleetView,
  loadReport,
  TargetState,
  type LoadReport,
  type TargetView,
} from "./fleet-view.js";
export { judgeTarget, type TargetEvidence } from "./target-evidence.js";
export { GossipState, type GossipDigest, type GossipEntry } from "./gossip-state.js";
export { gossipPeers, isProber } from "./duties.js";
export { StepMeter } from "./step-meter.js";
export { FleetTracker, type LeavingMark } from "./fleet-tracker.js";
export { Neighbourhood, type EntryVmStatus } from "./neighbourhood.js";
export { gossipDigest, gossipEntries } from "./facts.js";
