//! The delay a target adds to the next token it is given.
import type { Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";

const millisecondsPerSecond = 1_000;

/// Estimates when `target` would be done with `tokens` more tokens, the link to
/// it included. The backlog is what the target reported, less what it has worked
/// off since, plus what this entry VM has sent since: a report that lags does not
/// make every request run to the target that looked idle.
export function expectedDelay(target: TargetView, tokens: number): Milliseconds {
  const workedOff = (target.reportAge * target.tokensPerSecond) / millisecondsPerSecond;
  const reported = Math.max(0, target.load.queuedTokens - workedOff);
  const backlog = reported + target.sentTokens + tokens;
  return target.latency + (backlog * millisecondsPerSecond) / target.tokensPerSecond;
}
