//! Whether a stream has waited so long for its first event that its engines must be full.
import type { ForwardRoute } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";

// Callers leave after the longest of two seconds, four times the objective and eight times the
// allowed pause. Half of that is well beyond the objective, and early enough to admit less before
// they leave.
const minimumWait: Milliseconds = 1_000;
const objectives = 2;
const pauses = 4;

export function isLateStart(
  {
    latencyObjective,
    eventGapObjective,
  }: Pick<ForwardRoute, "latencyObjective" | "eventGapObjective">,
  waited: Milliseconds,
): boolean {
  const pause = Number.isFinite(eventGapObjective) ? eventGapObjective : 0;
  return waited >= Math.max(minimumWait, objectives * latencyObjective, pauses * pause);
}
