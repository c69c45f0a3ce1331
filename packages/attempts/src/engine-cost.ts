//! What a part of an answer costs at an engine, as the path search needs it.
import type { LayeredModel } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import type { LayerHolder } from "@lovagebend/routing";
import type { Target } from "./target-book.js";

// Passing on to the next engine and waiting there for the pass under way.
const visitShareOfStep = 0.5;
// How much more an engine costs whose memory for requests is all taken by this data
// centre's requests: its newest request would be put back.
const fullMemoryFactor = 4;

// More than any path of a whole data centre takes: an engine that has just refused is
// used only where no other holds its layers.
const refusingTime = 100;

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
  const pass = (model.stepTime * card.stepFactor * held) / model.layers;
  const taken = memoryTaken(target, model, card.memoryMegabytes, held, sharers);
  const crowding = 1 + fullMemoryFactor * taken * taken;
  return {
    name: target.name,
    dataCentre: target.dataCentre,
    layers: target.layers,
    layerTime: (pass / held) * crowding,
    visitTime: pass * visitShareOfStep * crowding + (target.refusingUntil > now ? refusingTime : 0),
  };
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
