//! What a part of an answer costs at an engine, as the path search needs it: the time of a
//! step with the answers that are written there, and the wait of a prompt before it is
//! read, which grows without bound as the engine's reading is used up.
import type { LayeredModel } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import type { LayerHolder } from "@lovagebend/routing";
import type { Target } from "./target-book.js";

// Passing on to the next engine and waiting there for the pass under way.
const visitTimeInSteps = 0.5;
// More than a crossing between data centres: an engine that has just refused is used only
// where no other holds its layers.
const refusalPenalty: Milliseconds = 1_000;
// Far less than a crossing: an engine that another entry VM doubts is
// left for another one of its data centre, or for a whole path elsewhere.
const peerSuspicionPenalty: Milliseconds = 30;
// Beyond this use of an engine's reading or memory the estimate says no more than "full".
const maximumUtilisation = 0.95;
// Cards differ fivefold in speed: with a plain pole the quick ones are filled to the brim,
// with a steeper one other data centres are sought at half load.
const memoryExponent = 1.25;
// A part on the slowest card takes about 2 ms. With this bound some full engines on a path
// still come before a crossing between data centres, whose pipe all answers share.
const maximumCongestion = 100;

/// `target` as a part of a path. `sharers` is how many entry VMs use it about as much as
/// this one. `undefined` for a target that holds no layers or is on an unknown card.
export function estimateLayerHolder(
  target: Target,
  model: LayeredModel,
  sharingEntryVms: number,
  now: Milliseconds,
): LayerHolder | undefined {
  const card = target.card === undefined ? undefined : model.cards.get(target.card);
  if (card === undefined || target.layers === undefined) return undefined;
  const layerCount = target.layers.end - target.layers.first;
  const share = layerCount / model.layers;
  const stepTime = share * card.stepFactor * estimateFullStepTime(target, model, sharingEntryVms);
  const prefillTimePerToken = (share * card.readFactor * 1_000) / model.readTokensPerSecond;
  const passTime = model.stepsPerPass * stepTime + model.largestReadPerPass * prefillTimePerToken;
  const prefillUtilisation =
    (target.prefillTokensPerMillisecond * sharingEntryVms * passTime) / model.largestReadPerPass;
  const memoryUtilisation = estimateMemoryUtilisation(
    target,
    model,
    card.memoryMegabytes,
    layerCount,
    sharingEntryVms,
  );
  const congestion = Math.min(
    maximumCongestion,
    queueingFactor(prefillUtilisation) * queueingFactor(memoryUtilisation) ** memoryExponent,
  );
  return {
    name: target.name,
    dataCentre: target.dataCentre,
    layers: target.layers,
    layerTime: (stepTime / layerCount) * congestion,
    visitTime: stepTime * visitTimeInSteps * congestion + targetPenalty(target, now),
  };
}

function targetPenalty(
  { refusingUntil, peerSuspectedUntil: hearsayUntil }: Target,
  now: Milliseconds,
): Milliseconds {
  if (refusingUntil > now) return refusalPenalty;
  return hearsayUntil > now ? peerSuspicionPenalty : 0;
}

// How many times longer work takes where this part of the means is in use.
function queueingFactor(utilisation: number): number {
  return 1 / (1 - Math.min(maximumUtilisation, utilisation));
}

// Of all layers on the reference card, with the answers that are being written.
function estimateFullStepTime(
  target: Target,
  model: LayeredModel,
  sharingEntryVms: number,
): Milliseconds {
  return (
    model.stepTime +
    target.openRequests * sharingEntryVms * model.stepTimePerAnswer +
    ((target.openTokens * sharingEntryVms) / 1_000) * model.stepTimePerThousandTokens
  );
}

// The part of the memory beside the layers that open requests take.
function estimateMemoryUtilisation(
  target: Target,
  model: LayeredModel,
  memoryMegabytes: number,
  layerCount: number,
  sharingEntryVms: number,
): number {
  const freeBytes = Math.max(1, (memoryMegabytes - layerCount * model.layerMegabytes) * 1e6);
  const bytesPerToken = (model.cacheBytesPerToken / model.layers) * layerCount;
  return (target.openTokens * sharingEntryVms * bytesPerToken) / freeBytes;
}
