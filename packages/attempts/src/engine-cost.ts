//! What a part of an answer costs at an engine, as the path search needs it: the time of a
//! step with the answers that are written there, and the wait of a prompt before it is
//! read, which grows without bound as the engine's reading is used up.
import type { LayeredModel } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import type { LayerHolder } from "@lovagebend/routing";
import type { Target } from "./target-book.js";

// Passing on to the next engine and waiting there for the pass under way.
const visitShareOfStep = 0.5;
// More than a crossing between data centres: an engine that has just refused is used only
// where no other holds its layers.
const refusingTime: Milliseconds = 1_000;
// Far less than a crossing: an engine that another entry VM doubts is
// left for another one of its data centre, or for a whole path elsewhere.
const hearsayTime: Milliseconds = 30;
// Beyond this use of an engine's reading or memory the estimate says no more than "full".
const largestUse = 0.95;
// Cards differ fivefold in speed: with a plain pole the quick ones are filled to the brim,
// with a steeper one other data centres are sought at half load.
const steepness = 1.25;
// A part on the slowest card takes about 2 ms. With this bound some full engines on a path
// still come before a crossing between data centres, whose pipe all answers share.
const largestCrowding = 100;

/// `target` as a part of a path. `sharers` is how many entry VMs use it about as much as
/// this one. `undefined` for a target that holds no layers or is on an unknown card.
export function layerHolder(
  target: Target,
  model: LayeredModel,
  sharers: number,
  now: Milliseconds,
): LayerHolder | undefined {
  const card = target.card === undefined ? undefined : model.cards.get(target.card);
  if (card === undefined || target.layers === undefined) return undefined;
  const held = target.layers.end - target.layers.first;
  const share = held / model.layers;
  const step = share * card.stepFactor * stepTime(target, model, sharers);
  const readTime = (share * card.readFactor * 1_000) / model.readTokensPerSecond;
  const pass = model.stepsPerPass * step + model.largestReadPerPass * readTime;
  const use = (target.readRate * sharers * pass) / model.largestReadPerPass;
  const taken = memoryTaken(target, model, card.memoryMegabytes, held, sharers);
  const crowding = Math.min(largestCrowding, waiting(use) * waiting(taken) ** steepness);
  return {
    name: target.name,
    dataCentre: target.dataCentre,
    layers: target.layers,
    layerTime: (step / held) * crowding,
    visitTime: step * visitShareOfStep * crowding + penalty(target, now),
  };
}

function penalty({ refusingUntil, hearsayUntil }: Target, now: Milliseconds): Milliseconds {
  if (refusingUntil > now) return refusingTime;
  return hearsayUntil > now ? hearsayTime : 0;
}

// How many times longer work takes where this part of the means is in use.
function waiting(use: number): number {
  return 1 / (1 - Math.min(largestUse, use));
}

// Of all layers on the reference card, with the answers that are being written.
function stepTime(target: Target, model: LayeredModel, sharers: number): Milliseconds {
  return (
    model.stepTime +
    target.openRequests * sharers * model.stepTimePerAnswer +
    ((target.openTokens * sharers) / 1_000) * model.stepTimePerThousandTokens
  );
}

// The part of the memory beside the layers that open requests take.
function memoryTaken(
  target: Target,
  model: LayeredModel,
  memoryMegabytes: number,
  held: number,
  sharers: number,
): number {
  const free = Math.max(1, (memoryMegabytes - held * model.layerMegabytes) * 1e6);
  const perToken = (model.cacheBytesPerToken / model.layers) * held;
  return (target.openTokens * sharers * perToken) / free;
}
