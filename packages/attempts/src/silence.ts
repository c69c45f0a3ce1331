//! Finds the target that holds up streams, from the streams alone. An engine in the
//! middle of a path that has died silences every stream that crosses it, while the other
//! engines of those paths go on with other streams.
import type { Milliseconds } from "@lovagebend/common";

/// A stream as the watch sees it. `lastProgress` is when it began or gave its last event;
/// `patience` is how long it may be quiet before that means anything.
export interface WatchedStream {
  readonly request: string;
  readonly targets: readonly string[];
  readonly lastProgressAt: Milliseconds;
  readonly stallTimeout: Milliseconds;
}

/// For each stream that has been quiet beyond its patience, the targets on its path that
/// have shown no progress on any other stream since it fell quiet. One name is a finding,
/// several are candidates, and none says that the stream itself waits.
export function findUnresponsiveTargets(
  streams: readonly WatchedStream[],
  now: Milliseconds,
): ReadonlyMap<string, readonly string[]> {
  const lastProgressByTarget = new Map<string, Milliseconds>();
  for (const { targets, lastProgressAt: lastProgress } of streams) {
    for (const target of targets) {
      lastProgressByTarget.set(
        target,
        Math.max(lastProgressByTarget.get(target) ?? -Infinity, lastProgress),
      );
    }
  }
  const candidates = new Map<string, readonly string[]>();
  for (const {
    request,
    targets,
    lastProgressAt: lastProgress,
    stallTimeout: patience,
  } of streams) {
    if (now - lastProgress <= patience) continue;
    // Events on the way when the target fell silent still count as before.
    const stalledSince = lastProgress + patience / 2;
    candidates.set(
      request,
      targets.filter((target) => (lastProgressByTarget.get(target) ?? -Infinity) < stalledSince),
    );
  }
  return candidates;
}
