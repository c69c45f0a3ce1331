//! Placement of model layers on engines: a pure planning function, the task that orders
//! engines to load the planned layers, and the detection of lost engines.
export { isUsableEngine, planPlacement, type Placement, type PlacedEngine } from "./planner.js";
export { countFittingLayers } from "./layer-capacity.js";
export { EngineFailureDetector } from "./engine-failure-detector.js";
export {
  PlacementController,
  type EngineClient,
  type EngineView,
  type EngineStatus,
  type OrderOutcome,
} from "./placement-controller.js";
