//! Measures the work that each workspace requests at this entry VM.
import type { Milliseconds } from "@lovagebend/common";

const timeConstant: Milliseconds = 300;
const minimumTokensPerSecond = 0.01;
const millisecondsPerSecond = 1_000;

/// Exponentially weighted rates of the requested work, including refused work.
export class DemandMeter {
  private readonly tokensPerSecond = new Map<string, number>();
  private readonly requestedTokens = new Map<string, number>();
  private updatedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.updatedAt = now;
  }

  /// Records that `workspace` requested `tokens` of work.
  recordRequest(workspace: string, tokens: number): void {
    this.requestedTokens.set(workspace, (this.requestedTokens.get(workspace) ?? 0) + tokens);
  }

  /// Ends the current interval and returns the rates in tokens per second at `now`. Idle
  /// workspaces are omitted.
  updateRates(now: Milliseconds): ReadonlyMap<string, number> {
    const elapsed = Math.max(1, now - this.updatedAt);
    this.updatedAt = now;
    const weight = 1 - Math.exp(-elapsed / timeConstant);
    for (const workspace of new Set([
      ...this.tokensPerSecond.keys(),
      ...this.requestedTokens.keys(),
    ])) {
      const previousRate = this.tokensPerSecond.get(workspace) ?? 0;
      const currentRate =
        ((this.requestedTokens.get(workspace) ?? 0) * millisecondsPerSecond) / elapsed;
      const rate = previousRate + weight * (currentRate - previousRate);
      if (rate < minimumTokensPerSecond) this.tokensPerSecond.delete(workspace);
      else this.tokensPerSecond.set(workspace, rate);
    }
    this.requestedTokens.clear();
    return new Map(this.tokensPerSecond);
  }
}
