//! Estimates the cost of a path part on an engine for the path search. The estimate is the
//! time of a decoding step with the answers in progress on the engine, multiplied by the
//! congestion of its prefill and memory. Congestion follows the queueing formula
//! 1 / (1 - utilisation), so the cost rises steeply as the engine approaches saturation.
import { isWithinModel, type LayeredModel, type LayerRange } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import type { LayerHolder } from "@lovagebend/routing";
import type { Target } from "./observed-target.js";

// The time to send activations to the next engine and wait there for the pass in progress,
// as a fraction of a step.
const visitTimeInSteps = 0.5;
// More than a crossing between data centres: an engine that recently refused a request is
// used only if no other engine holds its layers.
const refusalPenalty: Milliseconds = 1_000;
// Far less than a crossing: an engine that another entry VM suspects is avoided in favour of
// another engine in its data centre or a complete path in another one.
const peerSuspicionPenalty: Milliseconds = 30;
// The estimate of the first event knows no passes of other entry VMs that lie between; a stall is
// longer.
const toleratedLateness: Milliseconds = 100;
// A path of eleven late stages still costs less than a crossing between data centres.
const maximumLatenessPenalty: Milliseconds = 60;
// Estimates of prefill or memory utilisation above this value only mean "full".
const maximumUtilisation = 0.95;
// Cards differ fivefold in speed. A low exponent lets the fast ones fill up completely; a
// high one makes paths use other data centres at half load.
const memoryExponent = 1.25;
// A part on the slowest card takes about 2 ms. With this bound, a path with some full engines
// still costs less than a crossing between data centres, whose link all answers share.
const maximumCongestion = 100;

/// The work on an engine as this entry VM knows it. The times are those of one of its layers.
export interface EngineLoad {
  readonly target: Target;
  readonly layers: LayerRange;
  /// A decoding step with the answers in progress.
  readonly stepTime: Milliseconds;
  readonly prefillTimePerToken: Milliseconds;
  /// The factor by which the speed of the card lengthens a step.
  readonly cardFactor: number;
  readonly prefillUtilisation: number;
  readonly memoryUtilisation: number;
  /// The factor by which queueing for prefill and memory lengthens the work.
  readonly congestion: number;
  readonly penalty: Milliseconds;
}

/// Estimates the work on `target`. `sharingEntryVms` is the number of entry VMs, including this
/// one, that are assumed to send it as much work as this one does. Returns `undefined` for a
/// target that holds no layers of the model or has an unknown card.
export function estimateEngineLoad(
  target: Target,
  model: LayeredModel,
  sharingEntryVms: number,
  now: Milliseconds,
): EngineLoad | undefined {
  const { layers } = target;
  const card = target.card === undefined ? undefined : model.cards.get(target.card);
  if (card === undefined || layers === undefined) return undefined;
  if (!isWithinModel(layers, model)) return undefined;
  const layerCount = layers.end - layers.first;
  const stepTime =
    (card.stepFactor / model.layerCount) * estimateFullStepTime(target, model, sharingEntryVms);
  const prefillTimePerToken =
    (card.prefillFactor * 1_000) / (model.layerCount * model.prefillTokensPerSecond);
  const passTime =
    layerCount *
    (model.stepsPerPass * stepTime + model.maximumPrefillTokensPerPass * prefillTimePerToken);
  const prefillUtilisation =
    (target.prefillTokensPerMillisecond * sharingEntryVms * passTime) /
    model.maximumPrefillTokensPerPass;
  const memoryUtilisation = estimateMemoryUtilisation(
    target,
    model,
    card.memoryMegabytes,
    layerCount,
    sharingEntryVms,
  );
  const congestion = Math.min(
    maximumCongestion,
    getQueueingFactor(prefillUtilisation) * getQueueingFactor(memoryUtilisation) ** memoryExponent,
  );
  return {
    target,
    layers,
    stepTime,
    prefillTimePerToken,
    cardFactor: card.stepFactor,
    prefillUtilisation,
    memoryUtilisation,
    congestion,
    penalty: getTargetPenalty(target, now),
  };
}

/// Returns the costs of an engine as a part of a path with the minimum expected time.
export function createLayerHolder({
  target,
  layers,
  stepTime,
  congestion,
  penalty,
}: EngineLoad): LayerHolder {
  const layerCount = layers.end - layers.first;
  return {
    name: target.name,
    dataCentre: target.dataCentre,
    layers,
    layerTime: stepTime * congestion,
    visitTime: layerCount * stepTime * visitTimeInSteps * congestion + penalty,
  };
}

/// Like `createLayerHolder` for `target`; `undefined` if it can be no part of a path.
export function estimateLayerHolder(
  target: Target,
  model: LayeredModel,
  sharingEntryVms: number,
  now: Milliseconds,
): LayerHolder | undefined {
  const load = estimateEngineLoad(target, model, sharingEntryVms, now);
  return load === undefined ? undefined : createLayerHolder(load);
}

function getTargetPenalty(
  { refusingUntil, peerSuspectedUntil, firstEventLateness }: Target,
  now: Milliseconds,
): Milliseconds {
  if (refusingUntil > now) return refusalPenalty;
  const latenessPenalty = Math.min(
    maximumLatenessPenalty,
    Math.max(0, firstEventLateness - toleratedLateness),
  );
  return latenessPenalty + (peerSuspectedUntil > now ? peerSuspicionPenalty : 0);
}

// The factor by which queueing lengthens work on a resource with this utilisation.
function getQueueingFactor(utilisation: number): number {
  return 1 / (1 - Math.min(maximumUtilisation, utilisation));
}

// The time of a step through all layers on the reference card, with the open answers.
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

// The fraction of the memory left by the layers that the caches of open requests occupy.
function estimateMemoryUtilisation(
  target: Target,
  model: LayeredModel,
  memoryMegabytes: number,
  layerCount: number,
  sharingEntryVms: number,
): number {
  const freeBytes = Math.max(1, (memoryMegabytes - layerCount * model.layerMegabytes) * 1e6);
  const bytesPerToken = (model.cacheBytesPerToken / model.layerCount) * layerCount;
  return (target.openTokens * sharingEntryVms * bytesPerToken) / freeBytes;
}
