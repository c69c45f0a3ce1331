//! What operators and targets declare, as values: routes and workspaces, the
//! services behind them, and the targets that say they serve them.
export { mayRepeat, RouteKind, type ForwardRoute, type ServiceShare } from "./forward-route.js";
export {
  RouteTable,
  type RouteTableParts,
  type Workspace,
  type CallerLimits,
} from "./route-table.js";
export { type LayeredModel, type CardKind, type ServiceProfile } from "./service-profile.js";
export { ListedState, type LayerRange, type ListedTarget } from "./listed-target.js";
