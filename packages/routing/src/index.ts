//! Routing decisions: path search over layered targets, replica selection for plain
//! services, prefix-cache affinity and the maximum throughput of a set of targets.
export { choosePath, type Path, type PathQuery } from "./choose-path.js";
export { chooseService } from "./choose-service.js";
export { computeMaximumFlow, type Flow } from "./layer-flow.js";
export { estimateDelay } from "./expected-delay.js";
export { computePrefixCredit, choosePrefixHomes } from "./prefix-home.js";
export { tokensPerBlock, PrefixIndex, computePrefixKeys, type CacheEvent } from "./prefix-index.js";
export {
  findLayerPath,
  formatLink,
  findUncoveredLayers,
  LayerPathSearch,
  type LayerHolder,
  type LayerPathQuery,
  type PathPart,
} from "./layer-path.js";
