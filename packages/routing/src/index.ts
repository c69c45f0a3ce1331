//! The choice of the targets that an answer crosses, and the bound that a set of
//! targets can carry.
export { choosePath, type Path, type PathQuery } from "./choose-path.js";
export { chooseService } from "./choose-service.js";
export { largestFlow, type Flow } from "./layer-flow.js";
export { estimateDelay } from "./expected-delay.js";
export { prefixCredit, prefixHomes } from "./prefix-home.js";
export { blockTokens, PrefixIndex, prefixKeys, type CacheEvent } from "./prefix-index.js";
export {
  findLayerPath,
  findUncoveredLayers,
  type LayerHolder,
  type LayerPathQuery,
  type PathPart,
} from "./layer-path.js";
