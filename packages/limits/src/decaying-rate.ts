//! An exponentially decaying event rate, for decisions that must react within seconds.
import type { Milliseconds } from "@lovagebend/common";

/// An exponentially weighted rate. After `timeConstant` the weight of an event has decayed to
/// 1/e.
export class DecayingRate {
  private total = 0;
  private updatedAt: Milliseconds = 0;

  constructor(private readonly timeConstant: Milliseconds) {}

  /// Records an event with the weight `amount`.
  add(amount: number, now: Milliseconds): void {
    this.total = this.decayedTotal(now) + amount;
    this.updatedAt = now;
  }

  /// Returns the amount per millisecond at `now`.
  rate(now: Milliseconds): number {
    return this.decayedTotal(now) / this.timeConstant;
  }

  private decayedTotal(now: Milliseconds): number {
    return this.total * Math.exp((this.updatedAt - now) / this.timeConstant);
  }
}
