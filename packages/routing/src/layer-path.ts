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
  /// Targets that a path must not begin with.
  readonly notFirst?: ReadonlySet<string>;
}

interface PartialPath {
  readonly time: Milliseconds;
  readonly parts: readonly PathPart[];
  readonly dataCentre: string;
}

/// Returns the path with the minimum expected time, or `undefined` if some layer cannot be
/// covered. No target occurs twice in a path.
export function findLayerPath(
  holders: readonly LayerHolder[],
  query: LayerPathQuery,
): readonly PathPart[] | undefined {
  // For each layer and data centre, the fastest partial path that covers all lower layers
  // and ends in that data centre.
  const partialPaths: Map<string, PartialPath>[] = Array.from(
    { length: query.layers + 1 },
    () => new Map<string, PartialPath>(),
  );
  const firstPart = query.firstPart;
  const origin = firstPart?.dataCentre ?? query.localDataCentre;
  const parts =
    firstPart === undefined ? [] : [{ target: firstPart.target, first: 0, end: firstPart.end }];
  partialPaths[firstPart?.end ?? 0]?.set(origin, { time: 0, parts, dataCentre: origin });
  const starts = new Set(holders.map(({ layers }) => layers.first));
  for (let layer = 0; layer < query.layers; layer += 1) {
    for (const partialPath of partialPaths[layer]?.values() ?? []) {
      if (partialPath.parts.length >= query.maximumParts) continue;
      for (const holder of holders) {
        if (holder.layers.first > layer || holder.layers.end <= layer) continue;
        if (partialPath.parts.some(({ target }) => target === holder.name)) continue;
        if (partialPath.parts.length === 0 && query.notFirst?.has(holder.name) === true) continue;
        extendPath(partialPaths, partialPath, holder, layer, starts, query);
      }
    }
  }
  let best: PartialPath | undefined;
  for (const candidate of partialPaths[query.layers]?.values() ?? []) {
    if (best === undefined || candidate.time < best.time) best = candidate;
  }
  return best?.parts;
}

// A part ends at the end of its target's layer range, or earlier at a layer where the range
// of another target begins.
function extendPath(
  partialPaths: readonly Map<string, PartialPath>[],
  partialPath: PartialPath,
  holder: LayerHolder,
  first: number,
  starts: ReadonlySet<number>,
  query: LayerPathQuery,
): void {
  const timePerCrossing =
    partialPath.parts.length === 0 ? query.entryCrossingTime : query.crossingTime;
  const addedCrossingTime = holder.dataCentre === partialPath.dataCentre ? 0 : timePerCrossing;
  const last = Math.min(holder.layers.end, query.layers);
  for (let end = first + 1; end <= last; end += 1) {
    if (end !== holder.layers.end && !starts.has(end)) continue;
    const time =
      partialPath.time + addedCrossingTime + holder.visitTime + (end - first) * holder.layerTime;
    const existing = partialPaths[end]?.get(holder.dataCentre);
    if (existing !== undefined && existing.time <= time) continue;
    const part = { target: holder.name, first, end };
    partialPaths[end]?.set(holder.dataCentre, {
      time,
      parts: [...partialPath.parts, part],
      dataCentre: holder.dataCentre,
    });
  }
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
