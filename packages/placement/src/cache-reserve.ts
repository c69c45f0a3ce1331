//! How much of the memory of a data centre's cards is kept for the caches of answers, and how much
//! holds layers. Each further copy of a layer spares callers the loss of an engine, as long as the
//! caches that remain hold the answers that run at once. The plan therefore keeps as little cache
//! memory as a burst of the usual demand needs.
import type { LayeredModel } from "@lovagebend/catalog";
import { countFittingLayers, countTypicalTokens } from "./layer-capacity.js";

// The demand is not known when the first layers are loaded, and later changes cost loads. Fleets are
// sized so that the caches of the usual demand take about this part of the memory of their cards.
const usualCacheShare = 0.15;
// For a burst above the usual demand, and for answers that other data centres send.
const reserveFactor = 1.25;
// Every card has cache memory for this many answers where the data centre still holds all layers.
const minimumAnswers = 40;
const answerStep = 1;
const maximumAnswers = 400;

/// Returns the tokens of cache memory that each card of one data centre keeps beside its layers. With
/// the result `cards` together still hold all layers of `model` wherever their memory allows that.
export function chooseCacheTokens(cards: readonly string[], model: LayeredModel): number {
  const typicalTokens = countTypicalTokens(model);
  const needed = reserveFactor * countUsualAnswers(cards, model);
  let tokens = 0;
  for (let answers = minimumAnswers; answers <= maximumAnswers; answers += answerStep) {
    const copies = countCopies(cards, model, answers * typicalTokens);
    if (copies < 1) break;
    tokens = answers * typicalTokens;
    if (answers * copies >= needed) break;
  }
  return tokens > 0 ? tokens : findLargestCacheOfOneCopy(cards, model, minimumAnswers);
}

// The usual number of answers at once, from the memory of the cards.
function countUsualAnswers(cards: readonly string[], model: LayeredModel): number {
  const memory = cards.reduce(
    (sum, card) => sum + (model.cards.get(card)?.memoryMegabytes ?? 0) * 1e6,
    0,
  );
  return (usualCacheShare * memory) / (model.cacheBytesPerToken * countTypicalTokens(model));
}

function countCopies(cards: readonly string[], model: LayeredModel, cacheTokens: number): number {
  const layers = cards.reduce((sum, card) => sum + countFittingLayers(model, card, cacheTokens), 0);
  return layers / model.layerCount;
}

function findLargestCacheOfOneCopy(
  cards: readonly string[],
  model: LayeredModel,
  belowAnswers: number,
): number {
  const typicalTokens = countTypicalTokens(model);
  for (let answers = belowAnswers - answerStep; answers > 0; answers -= answerStep)
    if (countCopies(cards, model, answers * typicalTokens) >= 1) return answers * typicalTokens;
  return 0;
}
