//! How many layers a card holds beside the memory that requests need.
import type { LayeredModel } from "@lovagebend/catalog";

/// The layers that fit on `card` with room for the caches of `roomTokens` tokens at each
/// of them. 0 for a card that the model does not name.
export function layersThatFit(model: LayeredModel, card: string, roomTokens: number): number {
  const kind = model.cards.get(card);
  if (kind === undefined) return 0;
  const cacheMegabytes = (roomTokens * model.cacheBytesPerToken) / model.layers / 1e6;
  const layers = Math.floor(kind.memoryMegabytes / (model.layerMegabytes + cacheMegabytes));
  return Math.min(model.layers, layers);
}
