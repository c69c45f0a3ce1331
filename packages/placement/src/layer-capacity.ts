//! The number of layers that fit on an accelerator card beside its key-value cache.
import type { LayeredModel } from "@lovagebend/catalog";

/// Returns how many layers fit on `card` when each layer also needs the cache of
/// `cacheTokens` tokens. Returns 0 for a card that the model does not name.
export function countFittingLayers(model: LayeredModel, card: string, cacheTokens: number): number {
  const kind = model.cards.get(card);
  if (kind === undefined) return 0;
  const cacheMegabytes = (cacheTokens * model.cacheBytesPerToken) / model.layerCount / 1e6;
  const layers = Math.floor(kind.memoryMegabytes / (model.layerMegabytes + cacheMegabytes));
  return Math.min(model.layerCount, layers);
}
