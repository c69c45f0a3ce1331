//! Which engines to order next to load a version, when the weight store serves
//! only a few at a time.

/// What an engine said of itself. `range` names its layer range.
export interface EngineVersion {
  readonly target: string;
  readonly range: string;
  readonly version: string | null;
  readonly loading: string | null;
}

/// The engines to order now, in this order.
export interface LoadPlan {
  readonly order: readonly string[];
}

/// Plans the next orders so that at most `mostLoading` engines load at once. Layer
/// ranges with the fewest engines ready at `version` come first, since the thinnest
/// range bounds the whole pipeline. An engine that is loading is not ordered again.
export function planLoads(
  engines: readonly EngineVersion[],
  version: string,
  mostLoading: number,
): LoadPlan {
  const ready = new Map<string, number>();
  for (const { range, version: current, loading } of engines) {
    const counts = current === version || loading === version;
    ready.set(range, (ready.get(range) ?? 0) + (counts ? 1 : 0));
  }
  const waiting = engines.filter(
    (engine) => engine.version !== version && engine.loading !== version,
  );
  let free = mostLoading - engines.filter((engine) => engine.loading !== null).length;
  const order: string[] = [];
  while (free > 0 && waiting.length > 0) {
    waiting.sort((left, right) => (ready.get(left.range) ?? 0) - (ready.get(right.range) ?? 0));
    const next = waiting.shift();
    if (next === undefined) break;
    ready.set(next.range, (ready.get(next.range) ?? 0) + 1);
    order.push(next.target);
    free -= 1;
  }
  return { order };
}
