//! Plans which model layers each engine holds. Where memory allows, the engines of one data
//! centre together hold a complete replica, so that answers need not cross data centres. The
//! memory that caches don't need (`cache-reserve.ts`) replicates the layers with the fewest
//! holders, first in the data centre and then across all of them, so that few layers depend on
//! few engines.
//!
//! The plan is stable: an engine keeps its layers unless some layer has no holder. The plan
//! is deterministic: the same input gives the same plan on every entry VM.
import { isWithinModel, type LayeredModel, type LayerRange } from "@lovagebend/catalog";
import { chooseCacheTokens } from "./cache-reserve.js";
import { countFittingLayers } from "./layer-capacity.js";

/// An engine that the plan may use. `layers` is the range that it holds or is loading. A
/// standby engine joined recently and gets layers only where a layer has no holder, because
/// a replacement joins shortly before the engine that it replaces leaves.
export interface PlacedEngine {
  readonly name: string;
  readonly dataCentre: string;
  readonly card: string;
  readonly layers: LayerRange | undefined;
  readonly isStandby?: boolean;
}

/// Whether an engine has a card of the model and no layers beyond the model's.
export function isUsableEngine(
  { card, layers }: Pick<PlacedEngine, "card" | "layers">,
  model: LayeredModel,
): boolean {
  return model.cards.has(card) && (layers === undefined || isWithinModel(layers, model));
}

/// The layers that the named engine should load.
export interface Placement {
  readonly name: string;
  readonly layers: LayerRange;
}

interface SizedEngine extends PlacedEngine {
  /// The number of layers that the plan assigns to the engine.
  readonly layerCapacity: number;
  /// The time for one token and layer, relative to the model's reference card.
  readonly stepFactor: number;
}

/// Returns the layers to load on each engine whose layers should change; an engine that
/// keeps its layers has no entry. Engines that are not usable for the model have none either.
export function planPlacement(
  engines: readonly PlacedEngine[],
  model: LayeredModel,
): readonly Placement[] {
  const usable = engines.filter((engine) => isUsableEngine(engine, model));
  const globalCounts = new ReplicaCounts(model.layerCount);
  for (const { layers } of usable) if (layers !== undefined) globalCounts.add(layers);
  return groupByReplica(usable, model).flatMap((group) => planGroup(group, model, globalCounts));
}

/// The number of engines that hold each layer.
class ReplicaCounts {
  readonly counts: number[];

  constructor(layers: number) {
    this.counts = new Array<number>(layers).fill(0);
  }

  add(range: LayerRange, increment = 1): void {
    for (let layer = range.first; layer < range.end; layer += 1)
      this.counts[layer] = this.countAt(layer) + increment;
  }

  countAt(layer: number): number {
    return this.counts[layer] ?? 0;
  }

  get hasUncoveredLayer(): boolean {
    return this.counts.includes(0);
  }

  /// Whether each layer of `range` has more than one holder.
  isRedundant(range: LayerRange): boolean {
    return this.counts.slice(range.first, range.end).every((count) => count > 1);
  }
}

// Groups the engines by data centre. Data centres that cannot hold a complete replica alone
// form one group together.
function groupByReplica(engines: readonly PlacedEngine[], model: LayeredModel): SizedEngine[][] {
  const byDataCentre = new Map<string, PlacedEngine[]>();
  for (const engine of [...engines].sort((left, right) => compareNames(left.name, right.name))) {
    byDataCentre.set(engine.dataCentre, [...(byDataCentre.get(engine.dataCentre) ?? []), engine]);
  }
  const groups: SizedEngine[][] = [];
  let remaining: PlacedEngine[] = [];
  for (const [, members] of [...byDataCentre].sort(([left], [right]) =>
    compareNames(left, right),
  )) {
    if (sumFittingLayers(members, model, 0) >= model.layerCount)
      groups.push(assignLayerCapacity(members, model));
    else remaining = [...remaining, ...members];
  }
  if (remaining.length === 0) return groups;
  if (sumFittingLayers(remaining, model, 0) >= model.layerCount || groups.length === 0)
    return [...groups, assignLayerCapacity(remaining, model)];
  // The remaining engines can't hold a replica together, so they join the first group.
  return [...groups.slice(1), assignLayerCapacity([...(groups[0] ?? []), ...remaining], model)];
}

function assignLayerCapacity(members: readonly PlacedEngine[], model: LayeredModel): SizedEngine[] {
  const cards = members.map(({ card }) => card);
  const cacheTokens = chooseCacheTokens(cards, model);
  return members.flatMap((engine) => {
    const card = model.cards.get(engine.card);
    const layerCapacity = countFittingLayers(model, engine.card, cacheTokens);
    return card === undefined || layerCapacity === 0
      ? []
      : [{ ...engine, layerCapacity, stepFactor: card.stepFactor }];
  });
}

function sumFittingLayers(
  engines: readonly PlacedEngine[],
  model: LayeredModel,
  cacheTokens: number,
): number {
  return engines.reduce(
    (sum, engine) => sum + countFittingLayers(model, engine.card, cacheTokens),
    0,
  );
}

function planGroup(
  group: readonly SizedEngine[],
  model: LayeredModel,
  globalCounts: ReplicaCounts,
): Placement[] {
  const groupCounts = new ReplicaCounts(model.layerCount);
  for (const { layers } of group) if (layers !== undefined) groupCounts.add(layers);

  const placements: Placement[] = [];
  const placeEngine = (engine: SizedEngine): void => {
    // While a layer has no holder in the group, only the group counts, so that the ranges of
    // the first replica adjoin each other. Further replicas also consider the other groups.
    const layers = findLeastReplicatedRange(
      groupCounts,
      groupCounts.hasUncoveredLayer ? groupCounts : globalCounts,
      engine.layerCapacity,
    );
    groupCounts.add(layers);
    globalCounts.add(layers);
    placements.push({ name: engine.name, layers });
  };
  // Engines with the lowest step time per layer of capacity are placed first, so that the
  // first replica consists of the fastest cards.
  const emptyEngines = group
    .filter(({ layers }) => layers === undefined)
    .sort(
      (left, right) =>
        left.stepFactor / left.layerCapacity - right.stepFactor / right.layerCapacity,
    );
  for (const engine of emptyEngines) {
    if (engine.isStandby !== true || groupCounts.hasUncoveredLayer) placeEngine(engine);
  }

  // A layer without a holder goes to an engine whose own layers all have other holders. The smallest
  // engines are the first to serve again, because the time of a load grows with its layers, and
  // several load at the same time.
  const movableEngines = group
    .filter(({ layers }) => layers !== undefined)
    .sort((left, right) => left.layerCapacity - right.layerCapacity);
  while (groupCounts.hasUncoveredLayer) {
    const index = movableEngines.findIndex(
      ({ layers }) => layers !== undefined && groupCounts.isRedundant(layers),
    );
    const [engine] = index === -1 ? [] : movableEngines.splice(index, 1);
    if (engine?.layers === undefined) break;
    groupCounts.add(engine.layers, -1);
    globalCounts.add(engine.layers, -1);
    placeEngine(engine);
  }
  return placements;
}

// Returns the range of `layerCapacity` layers with the lowest replica cost: the range that
// covers most layers without a holder in the group, then the range whose layers have the
// fewest holders in the group, and then in `globalCounts`. Among equal ranges the first one
// is returned, so that ranges adjoin each other.
function findLeastReplicatedRange(
  groupCounts: ReplicaCounts,
  globalCounts: ReplicaCounts,
  layerCapacity: number,
): LayerRange {
  let best: LayerRange = { first: 0, end: layerCapacity };
  let bestCost = Infinity;
  for (let first = 0; first + layerCapacity <= groupCounts.counts.length; first += 1) {
    let cost = 0;
    for (let layer = first; layer < first + layerCapacity; layer += 1) {
      cost +=
        replicaCost(groupCounts.countAt(layer)) +
        otherGroupsWeight * replicaCost(globalCounts.countAt(layer) - groupCounts.countAt(layer));
    }
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { first, end: first + layerCapacity };
  }
  return best;
}

// Each further replica of a layer has this fraction of the value of the previous one.
const replicaValueRatio = 1 / 64;
// Replicas in other groups only break ties: their weight is below the smallest difference
// that a second and a third replica in the group make.
const otherGroupsWeight = 1e-6;

function replicaCost(replicas: number): number {
  return -Math.pow(replicaValueRatio, replicas);
}

function compareNames(left: string, right: string): number {
  return left < right ? -1 : left > right ? 1 : 0;
}
