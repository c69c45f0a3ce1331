//! Placement of model layers on engines: a pure planning function, the task that orders
//! engines to load the planned layers, and the detection of lost engines.
export { planPlacement, type Placement, type PlacedEngine } from "./planner.js";
export { countFittingLayers } from "./room.js";
export { LossWatch } from "./loss-watch.js";
export {
  Placer,
  type EngineOrders,
  type EngineView,
  type EngineStatus,
  type OrderOutcome,
} from "./placer.js";
