//! Placement of model layers on engines: a pure planning function, the task that orders
//! engines to load the planned layers, and the detection of lost engines.
export { isUsableEngine, planPlacement, type Placement, type PlacedEngine } from "./planner.js";
export { describePlacement, type PlacementSummary } from "./placement-summary.js";
export {
  BindingConstraint,
  evaluateGroup,
  summariseGroups,
  type GroupThroughput,
  type ThroughputSummary,
} from "./throughput.js";
export type { LayerHolding } from "./layer-holders.js";
export { countFittingLayers } from "./layer-capacity.js";
export { EngineFailureDetector, type LossWitnesses } from "./engine-failure-detector.js";
export { chooseLoads, type ChosenLoad } from "./load-order.js";
export { LoadState, type EngineView, type OrderedLoad } from "./load-records.js";
export type { EngineClient, EngineStatus, OrderOutcome } from "./engine-client.js";
export { PlacementController } from "./placement-controller.js";
