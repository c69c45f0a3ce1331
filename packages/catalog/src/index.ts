//! Value types for the declarations of operators and targets: routes, workspaces and services
//! from the operator's document, and the targets that register for a service.
export { toEnginePriority } from "./engine-priority.js";
export { isRetryable, RouteKind, type ForwardRoute, type ServiceShare } from "./forward-route.js";
export {
  RouteTable,
  type RouteTableParts,
  type Workspace,
  type CallerLimits,
} from "./route-table.js";
export {
  isWithinModel,
  type LayeredModel,
  type CardKind,
  type ServiceProfile,
} from "./service-profile.js";
export {
  ListedState,
  maximumLayerCount,
  type LayerRange,
  type ListedTarget,
} from "./listed-target.js";
