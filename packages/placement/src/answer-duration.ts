//! The time that an answer takes on the engines of a group, and the rate at which processing limits
//! them. Answers are assumed to spread over the holders of a layer in proportion to cache memory.
import type { LayeredModel } from "@lovagebend/catalog";
import type { LayerHolders, LayerSums } from "./layer-holders.js";

// Higher utilisation lengthens queues in front of an engine beyond the objectives of routes.
const maximumUtilisation = 0.85;
// A request that arrives at an engine waits for half of the pass that runs there on average.
const waitInSteps = 0.5;
// Sending activations to an engine in the same data centre and scheduling them there.
const hopMilliseconds = 0.5;
// The duration of an answer and the load depend on each other. The estimate changes by less than
// a hundredth after this number of iterations.
const durationIterations = 8;

// The share of the answers that pass `holder`, when answers spread over the holders of each layer
// in proportion to cache memory: the mean over its layers.
function meanShare(holder: LayerHolders, { answersAtOnce }: LayerSums): number {
  let sum = 0;
  for (let layer = holder.layers.first; layer < holder.layers.end; layer += 1)
    sum += holder.answersAtOnce / Math.max(1, answersAtOnce[layer] ?? 0);
  return sum / (holder.layers.end - holder.layers.first);
}

// The time for which a holder is busy with one answer, besides the fixed time of each step.
function busyMilliseconds(holder: LayerHolders, model: LayeredModel): number {
  const layers = holder.layers.end - holder.layers.first;
  return layers * (holder.layerPrefillTime + model.typicalAnswerTokens * holder.layerTimePerAnswer);
}

/// Returns the answers per second at which the busiest engine reaches the utilisation limit.
export function boundByProcessing(
  holders: readonly LayerHolders[],
  layers: LayerSums,
  model: LayeredModel,
): number {
  const work = holders.map(
    (holder) => (meanShare(holder, layers) * busyMilliseconds(holder, model)) / holder.count,
  );
  return (maximumUtilisation * 1_000) / Math.max(1e-9, ...work);
}

/// Estimates the seconds that an answer takes when `answersAtOnce` run, or as many as keep the rate
/// below `maximumRate`.
export function estimateDuration(
  holders: readonly LayerHolders[],
  layers: LayerSums,
  model: LayeredModel,
  answersAtOnce: number,
  meanStages: number,
  maximumRate: number,
): number {
  let seconds = 1;
  const shares = holders.map((holder) => meanShare(holder, layers));
  for (let iteration = 0; iteration < durationIterations; iteration += 1) {
    const rate = Math.min(maximumRate, answersAtOnce / seconds);
    const inProgress = rate * seconds;
    // Each answer is in one stage at a time; the others wait for that stage's result.
    const batch = inProgress / (meanStages * (1 + waitInSteps));
    let prefill = 0;
    let step = 0;
    holders.forEach((holder, index) => {
      const share = shares[index] ?? 0;
      const layerCount = holder.layers.end - holder.layers.first;
      const ownShare = share / holder.count;
      const utilisation = (rate * ownShare * layerCount * holder.layerPrefillTime) / 1_000;
      const queueing = 1 / (1 - Math.min(maximumUtilisation, utilisation));
      prefill += share * layerCount * holder.layerPrefillTime * queueing;
      step +=
        share *
        layerCount *
        (holder.layerStepTime + batch * ownShare * holder.layerTimePerAnswer) *
        queueing;
    });
    const tokenTime = step * (1 + waitInSteps) + meanStages * hopMilliseconds;
    const next = (prefill + model.typicalAnswerTokens * tokenTime) / 1_000;
    // The mean damps oscillation between two estimates.
    seconds = iteration === 0 ? next : (seconds + next) / 2;
  }
  return seconds;
}
