//! The memory of an accelerator card: how many layers fit beside the key-value cache, and how
//! many answers the cache beside a number of layers holds.
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

// An operator may declare caches of nearly no bytes.
const maximumAnswers = 1_000_000;

/// The tokens for which a typical request holds cache memory: those of its prompt and answer.
export function countTypicalTokens(model: LayeredModel): number {
  return Math.max(1, model.typicalPromptTokens + model.typicalAnswerTokens);
}

/// Returns how many typical answers an engine with `memoryMegabytes` has cache memory for when it
/// holds `layerCount` layers and each answer runs all of them.
export function countConcurrentAnswers(
  model: LayeredModel,
  memoryMegabytes: number,
  layerCount: number,
): number {
  const freeBytes = (memoryMegabytes - layerCount * model.layerMegabytes) * 1e6;
  const bytesPerLayer =
    (model.cacheBytesPerToken * countTypicalTokens(model)) / Math.max(1, model.layerCount);
  const answers = Math.floor(freeBytes / (bytesPerLayer * Math.max(1, layerCount)));
  return Math.min(maximumAnswers, Math.max(0, answers));
}

/// Returns how many layers an engine with `memoryMegabytes` holds beside the cache of `answers`
/// typical answers that run all of them.
export function countLayersWithAnswers(
  model: LayeredModel,
  memoryMegabytes: number,
  answers: number,
): number {
  const tokens = answers * countTypicalTokens(model);
  const cacheMegabytes = (tokens * model.cacheBytesPerToken) / model.layerCount / 1e6;
  const layers = Math.floor(memoryMegabytes / (model.layerMegabytes + cacheMegabytes));
  return Math.min(model.layerCount, layers);
}
