//! Plans which engines load a model version next, since the weight store serves only a few
//! loads at a time.

/// The reported state of an engine: `layerRange` identifies its layers, `version` is the
/// model version that it serves and `loading` the one that it is loading, each `null` if
/// there is none.
export interface EngineLoadState {
  readonly target: string;
  readonly layerRange: string;
  readonly version: string | null;
  readonly loading: string | null;
}

/// `targets` lists the names of the engines that should load the version now, the most urgent
/// one first.
export interface LoadPlan {
  readonly targets: readonly string[];
}

/// Plans the next loads so that at most `maximumConcurrentLoads` engines load at the same
/// time. Layer ranges with the fewest engines that serve or load `version` come first, since
/// the range with the fewest engines limits the whole pipeline. An engine that is already
/// loading `version` is not ordered again.
export function planLoads(
  engines: readonly EngineLoadState[],
  version: string,
  maximumConcurrentLoads: number,
): LoadPlan {
  const upToDateCounts = new Map<string, number>();
  for (const { layerRange, version: current, loading } of engines) {
    const isUpToDate = current === version || loading === version;
    upToDateCounts.set(layerRange, (upToDateCounts.get(layerRange) ?? 0) + (isUpToDate ? 1 : 0));
  }
  const outdatedEngines = engines.filter(
    (engine) => engine.version !== version && engine.loading !== version,
  );
  let freeLoadSlots =
    maximumConcurrentLoads - engines.filter((engine) => engine.loading !== null).length;
  const targets: string[] = [];
  while (freeLoadSlots > 0 && outdatedEngines.length > 0) {
    outdatedEngines.sort(
      (left, right) =>
        (upToDateCounts.get(left.layerRange) ?? 0) - (upToDateCounts.get(right.layerRange) ?? 0),
    );
    const next = outdatedEngines.shift();
    if (next === undefined) break;
    upToDateCounts.set(next.layerRange, (upToDateCounts.get(next.layerRange) ?? 0) + 1);
    targets.push(next.target);
    freeLoadSlots -= 1;
  }
  return { targets };
}
