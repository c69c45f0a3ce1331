//! The delay a target adds to each token of an answer that crosses it.
import type { Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";

const millisecondsPerSecond = 1_000;

/// Estimates how long a token of one more answer takes on `target`, the link to it
/// included: each answer that crosses the target may have a token before it. Open answers
/// are known at once for those of this entry VM, while queues are reported late, and
/// judged by them every answer would run to the target that looked idle a moment ago.
export function estimateDelay(target: TargetView): Milliseconds {
  const tokens = target.openAnswers + 1;
  return target.latency + (tokens * millisecondsPerSecond) / target.tokensPerSecond;
}
