//! Estimates the delay that a target adds to each token of an answer whose path
//! includes it. Path search and replica selection use this estimate as their cost.
import type { Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";

const millisecondsPerSecond = 1_000;

/// Estimates the time of one token of an additional answer on `target`, including the
/// latency of the link: each open answer on the target may have a token queued before it.
/// The estimate uses open answers, because this entry VM's own count is current. Queue
/// lengths are reported late; routing by them would send every answer to the target that
/// was idle at the last report (herding).
export function estimateDelay(target: TargetView): Milliseconds {
  const tokens = target.openAnswers + 1;
  return target.latency + (tokens * millisecondsPerSecond) / target.tokensPerSecond;
}
