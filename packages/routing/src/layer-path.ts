//! Finds the path of an answer through targets whose layer ranges may overlap: of all
//! paths that run every layer once and in order, the one with the minimum expected time.
//! The search is a dynamic program over layers and data centres.
import type { LayerRange } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";

/// A target that can run a part of a path. `layerTime` is the expected time of one layer
/// on it under its current load; `visitTime` is added once for each part on it.
export interface LayerHolder {
  readonly name: string;
  readonly dataCentre: string;
  readonly layers: LayerRange;
  readonly layerTime: Milliseconds;
  readonly visitTime: Milliseconds;
}

/// A part of a path: a layer range and the target that runs it.
export interface PathPart extends LayerRange {
  readonly target: string;
}

export interface LayerPathQuery {
  readonly layers: number;
  /// Added if a part is in another data centre than the previous part: the activations of
  /// the whole prompt cross the link between data centres.
  readonly crossingTime: Milliseconds;
  /// Added if the first part is in another data centre than `localDataCentre`: only the
  /// request and its events cross the link.
  readonly entryCrossingTime: Milliseconds;
  readonly localDataCentre: string;
  /// The part that the path must begin with, because a running answer keeps it.
  readonly firstPart?: PathPart & { readonly dataCentre: string };
  readonly maximumParts: number;
  /// Links between data centres that a path must not cross, as `formatLink` names them.
  readonly closedLinks?: ReadonlySet<string>;
  /// Targets that a path must not begin with.
  readonly notFirst?: ReadonlySet<string>;
}

/// Returns the path with the minimum expected time, or `undefined` if some layer cannot be
/// covered. No target occurs twice in a path.
export function findLayerPath(
  holders: readonly LayerHolder[],
  query: LayerPathQuery,
): readonly PathPart[] | undefined {
  return new LayerPathSearch(holders, query).find();
}

/// A search that can be repeated with other costs of the same holders.
export class LayerPathSearch {
  private readonly dataCentres: readonly string[];
  private readonly dataCentreOf: Int32Array;
  private readonly canBeFirst: readonly boolean[];
  /// For each holder, the layers at which a part on it may end, in order.
  private readonly endsOf: readonly (readonly number[])[];
  private readonly origin = 0;
  private readonly indexes: ReadonlyMap<string, number>;
  private readonly layerTimes: Float64Array;
  private readonly visitTimes: Float64Array;
  /// The holders of each layer that a partial path has reached, by data centre.
  private readonly holdersOf: (readonly (readonly number[])[])[] = [];
  // For each layer and data centre, the fastest partial path that covers all lower layers and ends
  // in that data centre: its time, number of parts, last holder and first layer of the last part.
  private readonly times: Float64Array;
  private readonly partCounts: Int32Array;
  private readonly lastHolders: Int32Array;
  private readonly previousStates: Int32Array;

  constructor(
    private readonly holders: readonly LayerHolder[],
    private readonly query: LayerPathQuery,
  ) {
    const originName = query.firstPart?.dataCentre ?? query.localDataCentre;
    this.dataCentres = [...new Set([originName, ...holders.map(({ dataCentre }) => dataCentre)])];
    this.indexes = new Map(holders.map(({ name }, index) => [name, index]));
    const dataCentreIndexes = new Map(this.dataCentres.map((name, index) => [name, index]));
    this.layerTimes = Float64Array.from(holders, ({ layerTime }) => layerTime);
    this.visitTimes = Float64Array.from(holders, ({ visitTime }) => visitTime);
    this.dataCentreOf = Int32Array.from(
      holders,
      ({ dataCentre }) => dataCentreIndexes.get(dataCentre) ?? 0,
    );
    this.canBeFirst = holders.map(({ name }) => query.notFirst?.has(name) !== true);
    const starts = [...new Set(holders.map(({ layers }) => layers.first))].sort(
      (left, right) => left - right,
    );
    const endsByRange = new Map<string, readonly number[]>();
    this.endsOf = holders.map(({ layers: { first, end } }) => {
      const key = `${first}-${end}`;
      const last = Math.min(end, query.layers);
      const ends =
        endsByRange.get(key) ??
        findEnds(starts, first, last, end <= query.layers || starts.includes(last));
      endsByRange.set(key, ends);
      return ends;
    });
    const states = (query.layers + 1) * this.dataCentres.length;
    this.times = new Float64Array(states);
    this.partCounts = new Int32Array(states);
    this.lastHolders = new Int32Array(states);
    this.previousStates = new Int32Array(states);
  }

  /// Returns the path with the minimum expected time. `factors` multiply the times of the holders, in
  /// their order.
  find(factors?: ArrayLike<number>): readonly PathPart[] | undefined {
    const { query, dataCentres, times, partCounts } = this;
    const { firstPart } = query;
    times.fill(Infinity);
    const begin = (firstPart?.end ?? 0) * dataCentres.length + this.origin;
    times[begin] = 0;
    partCounts[begin] = firstPart === undefined ? 0 : 1;
    this.lastHolders[begin] = -1;
    for (let layer = 0; layer < query.layers; layer += 1) {
      for (let dataCentre = 0; dataCentre < dataCentres.length; dataCentre += 1) {
        const state = layer * dataCentres.length + dataCentre;
        if (times[state] === Infinity || (partCounts[state] ?? 0) >= query.maximumParts) continue;
        for (const [holderDataCentre, indexes] of this.getHoldersOf(layer).entries()) {
          if (this.isCrossingDominated(state, layer, holderDataCentre)) continue;
          for (const index of indexes) {
            if (partCounts[state] === 0 && this.canBeFirst[index] === false) continue;
            this.extend(state, layer, index, factors?.[index] ?? 1);
          }
        }
      }
    }
    let best: number | undefined;
    for (let dataCentre = 0; dataCentre < dataCentres.length; dataCentre += 1) {
      const state = query.layers * dataCentres.length + dataCentre;
      if ((times[state] ?? Infinity) < (best === undefined ? Infinity : (times[best] ?? 0)))
        best = state;
    }
    return best === undefined ? undefined : this.readPath(best);
  }

  /// Returns the expected time of `path`, which `find` has returned.
  getTime(path: readonly PathPart[]): Milliseconds {
    const { query, indexes } = this;
    let dataCentre = query.firstPart?.dataCentre ?? query.localDataCentre;
    let time = 0;
    for (const [index, { target, first, end }] of path.entries()) {
      if (index === 0 && query.firstPart !== undefined) continue;
      const holder = this.holders[indexes.get(target) ?? -1];
      if (holder === undefined) continue;
      const timePerCrossing = index === 0 ? query.entryCrossingTime : query.crossingTime;
      if (holder.dataCentre !== dataCentre) time += timePerCrossing;
      time += holder.visitTime + (end - first) * holder.layerTime;
      ({ dataCentre } = holder);
    }
    return time;
  }

  // A part ends at the end of its target's layer range, or earlier at a layer where the range
  // of another target begins.
  private extend(state: number, first: number, index: number, factor: number): void {
    const { query, times, dataCentres, layerTimes, visitTimes } = this;
    const dataCentre = this.dataCentreOf[index] ?? 0;
    const timePerCrossing =
      this.partCounts[state] === 0 ? query.entryCrossingTime : query.crossingTime;
    const previous = state % dataCentres.length;
    const isCrossing = dataCentre !== previous;
    if (isCrossing && (this.partCounts[state] ?? 0) > 0 && this.isClosed(previous, dataCentre))
      return;
    const base =
      (times[state] ?? 0) + (isCrossing ? timePerCrossing : 0) + (visitTimes[index] ?? 0) * factor;
    const layerTime = (layerTimes[index] ?? 0) * factor;
    let isOnPath: boolean | undefined;
    for (const end of this.endsOf[index] ?? []) {
      if (end <= first) continue;
      const time = base + (end - first) * layerTime;
      const next = end * dataCentres.length + dataCentre;
      if ((times[next] ?? Infinity) <= time) continue;
      isOnPath ??= this.isOnPath(state, index);
      if (isOnPath) return;
      times[next] = time;
      this.partCounts[next] = (this.partCounts[state] ?? 0) + 1;
      this.lastHolders[next] = index;
      this.previousStates[next] = state;
    }
  }

  // Whether the holders of another data centre are reached sooner by a path that is there already.
  private isCrossingDominated(state: number, layer: number, dataCentre: number): boolean {
    const { dataCentres, times, partCounts, query } = this;
    const other = layer * dataCentres.length + dataCentre;
    if (other === state || (partCounts[other] ?? 0) >= query.maximumParts) return false;
    const crossingTime = partCounts[state] === 0 ? query.entryCrossingTime : query.crossingTime;
    return (times[other] ?? Infinity) <= (times[state] ?? 0) + crossingTime;
  }

  private isClosed(one: number, other: number): boolean {
    const { closedLinks } = this.query;
    if (closedLinks === undefined || closedLinks.size === 0) return false;
    return closedLinks.has(formatLink(this.dataCentres[one] ?? "", this.dataCentres[other] ?? ""));
  }

  private getHoldersOf(layer: number): readonly (readonly number[])[] {
    const known = this.holdersOf[layer];
    if (known !== undefined) return known;
    const { holders, query } = this;
    const indexes: number[][] = this.dataCentres.map(() => []);
    for (let index = 0; index < holders.length; index += 1) {
      const holder = holders[index];
      if (holder === undefined || holder.name === query.firstPart?.target) continue;
      if (holder.layers.first <= layer && holder.layers.end > layer)
        indexes[this.dataCentreOf[index] ?? 0]?.push(index);
    }
    this.holdersOf[layer] = indexes;
    return indexes;
  }

  private isOnPath(state: number, holder: number): boolean {
    let at = state;
    for (let last = this.lastHolders[at] ?? -1; last !== -1; last = this.lastHolders[at] ?? -1) {
      if (last === holder) return true;
      at = this.previousStates[at] ?? 0;
      if ((this.partCounts[at] ?? 0) === 0) return false;
    }
    return false;
  }

  private readPath(state: number): readonly PathPart[] {
    const { firstPart } = this.query;
    const parts: PathPart[] = [];
    let at = state;
    for (;;) {
      const holder = this.holders[this.lastHolders[at] ?? -1];
      const end = Math.floor(at / this.dataCentres.length);
      if (holder === undefined) break;
      const previous = this.previousStates[at] ?? 0;
      const first = Math.floor(previous / this.dataCentres.length);
      parts.push({ target: holder.name, first, end });
      at = previous;
      if ((this.partCounts[at] ?? 0) === 0) break;
    }
    if (firstPart !== undefined)
      parts.push({ target: firstPart.target, first: 0, end: firstPart.end });
    return parts.reverse();
  }
}

function findEnds(
  starts: readonly number[],
  first: number,
  last: number,
  canEndAtLast: boolean,
): readonly number[] {
  const ends = starts.filter((start) => start > first && start < last);
  return canEndAtLast && last > first ? [...ends, last] : ends;
}

/// Returns the layer ranges that none of `holders` holds.
export function findUncoveredLayers(
  holders: readonly Pick<LayerHolder, "layers">[],
  layers: number,
): readonly LayerRange[] {
  const ranges: LayerRange[] = [];
  let end = 0;
  const sortedHolders = [...holders].sort((left, right) => left.layers.first - right.layers.first);
  for (const { layers: held } of sortedHolders) {
    if (held.first > end) ranges.push({ first: end, end: held.first });
    end = Math.max(end, held.end);
  }
  if (end < layers) ranges.push({ first: end, end: layers });
  return ranges;
}

/// The name of the link between two data centres, the same in both directions.
export function formatLink(one: string, other: string): string {
  return one < other ? `${one} ${other}` : `${other} ${one}`;
}
