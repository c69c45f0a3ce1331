//! Measures the throughput of a target as one entry VM observes it, network link included,
//! from the completion times of steps.
import type { Milliseconds } from "@lovagebend/common";

const decayFactor = 0.99;
const millisecondsPerSecond = 1_000;
const minimumTokens = 20;

/// Accumulates an exponentially decayed count of tokens and of the time in which the target
/// processed them. The processing time of a step excludes its wait behind earlier steps of
/// this entry VM: it begins when the previous step completed or when the step could have
/// arrived, whichever is later. Steps that complete together share one processing time.
export class ThroughputMeter {
  private tokens = 0;
  private busyTime: Milliseconds = 0;
  private lastCompletedAt: Milliseconds = -Infinity;

  /// Records a step of `tokens` tokens that was sent at `sentAt` and completed at `now`.
  /// `latency` is that of the link.
  recordStep(tokens: number, sentAt: Milliseconds, now: Milliseconds, latency: Milliseconds): void {
    const startedAt = Math.max(this.lastCompletedAt, sentAt + latency);
    this.lastCompletedAt = now;
    this.tokens = this.tokens * decayFactor + tokens;
    this.busyTime = this.busyTime * decayFactor + Math.max(0, now - startedAt);
  }

  /// Tokens per second, or `undefined` until the minimum number of tokens has been counted.
  get tokensPerSecond(): number | undefined {
    if (this.tokens < minimumTokens || this.busyTime <= 0) return undefined;
    return (this.tokens * millisecondsPerSecond) / this.busyTime;
  }
}
