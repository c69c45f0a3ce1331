//! What a target really does a second as one entry VM sees it, its link included:
//! learned from the times at which steps come back.
import type { Milliseconds } from "@lovagebend/common";

const keptShare = 0.99;
const millisecondsPerSecond = 1_000;
const enoughTokens = 20;

/// Measures how long each step was served once nothing of this entry VM's was before it:
/// from when the step before came back, or from when it could have arrived, whichever is
/// later. Steps that come back together count as one service shared by all.
export class StepMeter {
  private tokens = 0;
  private served: Milliseconds = 0;
  private lastDone: Milliseconds = -Infinity;

  /// A step of `tokens` tokens, sent at `sentAt`, came back at `now`; `latency` is the
  /// link's.
  done(tokens: number, sentAt: Milliseconds, now: Milliseconds, latency: Milliseconds): void {
    const began = Math.max(this.lastDone, sentAt + latency);
    this.lastDone = now;
    this.tokens = this.tokens * keptShare + tokens;
    this.served = this.served * keptShare + Math.max(0, now - began);
  }

  /// Tokens a second, or `undefined` before enough tokens were seen.
  get tokensPerSecond(): number | undefined {
    if (this.tokens < enoughTokens || this.served <= 0) return undefined;
    return (this.tokens * millisecondsPerSecond) / this.served;
  }
}
