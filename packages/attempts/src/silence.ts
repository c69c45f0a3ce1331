//! Finds the target that holds up streams, from the streams alone. An engine in the
//! middle of a path that has died silences every stream that crosses it, while the other
//! engines of those paths go on with other streams.
import type { Milliseconds } from "@lovagebend/common";

/// A stream as the watch sees it. `lastProgress` is when it began or gave its last event;
/// `patience` is how long it may be quiet before that means anything.
export interface WatchedStream {
  readonly request: string;
  readonly targets: readonly string[];
  readonly lastProgress: Milliseconds;
  readonly patience: Milliseconds;
}

/// For each stream that has been quiet beyond its patience, the targets on its path that
/// have shown no progress on any other stream since it fell quiet. One name is a finding,
/// several are candidates, and none says that the stream itself waits.
export function silentTargets(
  streams: readonly WatchedStream[],
  now: Milliseconds,
): ReadonlyMap<string, readonly string[]> {
  const latest = new Map<string, Milliseconds>();
  for (const { targets, lastProgress } of streams) {
    for (const target of targets) {
      latest.set(target, Math.max(latest.get(target) ?? -Infinity, lastProgress));
    }
  }
  const found = new Map<string, readonly string[]>();
  for (const { request, targets, lastProgress, patience } of streams) {
    if (now - lastProgress <= patience) continue;
    // Events on the way when the target fell silent still count as before.
    const quietSince = lastProgress + patience / 2;
    found.set(
      request,
      targets.filter((target) => (latest.get(target) ?? -Infinity) < quietSince),
    );
  }
  return found;
}
