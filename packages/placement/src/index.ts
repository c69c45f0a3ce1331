//! Which target holds which layers: the planner, a plain function, and the task that
//! orders what the plan wants.
export { planPlacement, type Placement, type PlacedEngine } from "./planner.js";
export { layersThatFit } from "./room.js";
export { LossWatch } from "./loss-watch.js";
export {
  Placer,
  type EngineOrders,
  type EngineView,
  type EngineStatus,
  type OrderOutcome,
} from "./placer.js";
