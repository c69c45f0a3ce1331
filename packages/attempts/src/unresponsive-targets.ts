//! Passive failure detection from stream progress. An engine that fails in the middle of a
//! path stalls every stream on it, while the other engines of those paths still make
//! progress on other streams. Comparing the streams identifies the unresponsive engine.
import type { Milliseconds } from "@lovagebend/common";

/// A stream monitored for stalls. `lastProgressAt` is the monotonic time of its start or last
/// event; the stream counts as stalled after `stallTimeout` without an event.
export interface WatchedStream {
  readonly request: string;
  readonly targets: readonly string[];
  readonly lastProgressAt: Milliseconds;
  readonly stallTimeout: Milliseconds;
}

/// Returns, for each stalled stream, the targets on its path that have made no progress on any
/// other stream since it stalled. One name identifies the unresponsive target, several are
/// candidates, and none means that the stream is waiting although all its targets work.
export function findUnresponsiveTargets(
  streams: readonly WatchedStream[],
  now: Milliseconds,
): ReadonlyMap<string, readonly string[]> {
  const lastProgressByTarget = new Map<string, Milliseconds>();
  for (const { targets, lastProgressAt } of streams) {
    for (const target of targets) {
      lastProgressByTarget.set(
        target,
        Math.max(lastProgressByTarget.get(target) ?? -Infinity, lastProgressAt),
      );
    }
  }
  const candidates = new Map<string, readonly string[]>();
  for (const { request, targets, lastProgressAt, stallTimeout } of streams) {
    if (now - lastProgressAt <= stallTimeout) continue;
    // Events that were in transit when the target stopped arrive later than the failure;
    // half the stall timeout keeps them from counting as later progress.
    const stalledSince = lastProgressAt + stallTimeout / 2;
    candidates.set(
      request,
      targets.filter((target) => (lastProgressByTarget.get(target) ?? -Infinity) < stalledSince),
    );
  }
  return candidates;
}
