//! What the loss of some engines of a group leaves of the answers that run at once. The engines that
//! are lost together are those of one layer with the most cache memory. Answers move to other holders
//! of the layers concerned, where ranges overlap differently, and these engines leave their other
//! layers to engines beside them.
import type { LayeredModel } from "@lovagebend/catalog";
import type { LayerHolders, LayerSums } from "./layer-holders.js";

/// The number of simultaneous losses that a plan considers.
export const maximumLosses = 4;
// Each entry VM chooses paths by what it knows, so that answers don't divide among the remaining
// engines as well as they could.
const divisionEfficiency = 0.85;

/// Returns the number of answers that the holders of the first layer, without the engines in `lost`,
/// run at once as first stages. Path choice divides answers among them by free cache memory and does
/// not know their slots, so that an engine with cache memory for more answers than slots queues
/// requests while others have free slots.
export function countFirstStageAnswers(
  holders: readonly LayerHolders[],
  { firstStageSlots }: LayeredModel,
  lost: readonly LayerHolders[] = [],
): number {
  let sum = 0;
  let largest = 0;
  for (const holder of holders) {
    if (holder.layers.first !== 0) continue;
    const remaining = holder.count - lost.filter((other) => other === holder).length;
    if (remaining <= 0) continue;
    const answers = holder.answersAtOnce / holder.count;
    sum += remaining * answers;
    largest = Math.max(largest, answers);
  }
  if (sum === 0 || firstStageSlots === undefined) return sum;
  return sum * Math.min(1, firstStageSlots / largest);
}

/// Returns the largest share of `answersInUse` that the loss of one, two, three and four engines
/// takes.
export function findWorstLosses(
  holders: readonly LayerHolders[],
  sums: LayerSums,
  model: LayeredModel,
  answersInUse: number,
): readonly number[] {
  const supply = new SharedSupply(holders, model.layerCount);
  const mostShared = divisionEfficiency * supply.answersWithout([]);
  const remaining = new Array<number>(maximumLosses).fill(answersInUse);
  for (const layer of listDistinctLayers(holders)) {
    const lost: LayerHolders[] = [];
    for (const holder of listLargest(holders, layer)) {
      lost.push(holder);
      // Answers that keep to the ranges of other replicas need no division.
      const kept =
        (sums.answersAtOnce[layer] ?? 0) -
        lost.reduce((sum, { answersAtOnce, count }) => sum + answersAtOnce / count, 0);
      const slots = countFirstStageAnswers(holders, model, lost);
      const least = remaining[lost.length - 1] ?? 0;
      if (Math.min(kept, slots) >= least) continue;
      const shared = kept >= mostShared ? kept : divisionEfficiency * supply.answersWithout(lost);
      remaining[lost.length - 1] = Math.min(least, Math.max(kept, shared), slots);
    }
    for (let losses = lost.length; losses < maximumLosses; losses += 1) remaining[losses] = 0;
  }
  return remaining.map((answers) => Math.max(0, 1 - answers / Math.max(1e-9, answersInUse)));
}

// The first layers of the stretches that are held by the same engines.
function listDistinctLayers(holders: readonly LayerHolders[]): readonly number[] {
  return [...new Set(holders.flatMap(({ layers }) => [layers.first, layers.end]))].filter((layer) =>
    holders.some(({ layers }) => layers.first <= layer && layer < layers.end),
  );
}

// Up to four holders of `layer` with the most cache memory, one for each engine.
function listLargest(holders: readonly LayerHolders[], layer: number): readonly LayerHolders[] {
  return holders
    .filter(({ layers }) => layers.first <= layer && layer < layers.end)
    .flatMap((holder) =>
      new Array<LayerHolders>(Math.min(holder.count, maximumLosses)).fill(holder),
    )
    .sort((left, right) => cacheOf(right) - cacheOf(left))
    .slice(0, maximumLosses);
}

// The cache memory of one engine, in answers times layers.
function cacheOf({ answersAtOnce, count, layers }: LayerHolders): number {
  return (answersAtOnce / count) * (layers.end - layers.first);
}

/// The cache memory that stretches of layers can use. The answers that run at once are at most, for
/// each stretch, the cache memory of all engines with a layer in it divided by its length.
class SharedSupply {
  /// The cache memory of engines whose ranges begin before, and end at or before, each boundary.
  private readonly begun: number[];
  private readonly ended: number[];
  private readonly beginnings: readonly number[];
  private readonly ends: readonly number[];

  constructor(holders: readonly LayerHolders[], layerCount: number) {
    const begun = new Array<number>(layerCount + 1).fill(0);
    const ended = new Array<number>(layerCount + 1).fill(0);
    for (const holder of holders) {
      const cache = cacheOf(holder) * holder.count;
      const { first, end } = holder.layers;
      begun[first + 1] = (begun[first + 1] ?? 0) + cache;
      ended[end] = (ended[end] ?? 0) + cache;
    }
    for (let layer = 1; layer <= layerCount; layer += 1) {
      begun[layer] = (begun[layer] ?? 0) + (begun[layer - 1] ?? 0);
      ended[layer] = (ended[layer] ?? 0) + (ended[layer - 1] ?? 0);
    }
    this.begun = begun;
    this.ended = ended;
    // The least value of a quotient lies at a stretch from the end of a range to the beginning of one.
    const collect = (boundaries: readonly number[]): number[] =>
      [...new Set(boundaries)].sort((left, right) => left - right);
    this.beginnings = collect([...holders.map(({ layers }) => layers.first), layerCount]);
    this.ends = collect([0, ...holders.map(({ layers }) => layers.end)]);
  }

  /// Returns the answers at once without the engines in `lost`.
  answersWithout(lost: readonly LayerHolders[]): number {
    const lostCache = lost.map(cacheOf);
    const { begun, ended, beginnings, ends } = this;
    let least = Infinity;
    for (const first of ends) {
      const endedCache = ended[first] ?? 0;
      for (const end of beginnings) {
        if (end <= first) continue;
        let cache = (begun[end] ?? 0) - endedCache;
        for (let index = 0; index < lost.length; index += 1) {
          const layers = lost[index]?.layers;
          if (layers !== undefined && layers.first < end && layers.end > first)
            cache -= lostCache[index] ?? 0;
        }
        const answers = cache / (end - first);
        if (answers < least) least = answers;
      }
    }
    return Math.max(0, least);
  }
}
