//! When the caller of a stream leaves if no event reaches it.
import type { ForwardRoute } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";

// What callers state of themselves: the longest of these times without an event.
const minimumPatience: Milliseconds = 2_000;
const patienceInLatencyObjectives = 4;
const patienceInEventGaps = 8;

/// Returns the time without an event after which callers of `route` leave. A route without an
/// objective for the gap names no time by it.
export function findPatience({ latencyObjective, eventGapObjective }: ForwardRoute): Milliseconds {
  const gaps = Number.isFinite(eventGapObjective) ? patienceInEventGaps * eventGapObjective : 0;
  return Math.max(minimumPatience, patienceInLatencyObjectives * latencyObjective, gaps);
}
