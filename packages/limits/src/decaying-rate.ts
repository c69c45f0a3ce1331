//! A rate of events over the recent past, for choices that must react within seconds.
import type { Milliseconds } from "@lovagebend/common";

/// An exponentially weighted rate. `memory` is the time over which an event loses all but
/// 1/e of its weight.
export class DecayingRate {
  private weight = 0;
  private last: Milliseconds = 0;

  constructor(private readonly memory: Milliseconds) {}

  /// Counts an event of size `amount`.
  add(amount: number, now: Milliseconds): void {
    this.weight = this.weightAt(now) + amount;
    this.last = now;
  }

  /// The amount per millisecond as of `now`.
  rate(now: Milliseconds): number {
    return this.weightAt(now) / this.memory;
  }

  private weightAt(now: Milliseconds): number {
    return this.weight * Math.exp((this.last - now) / this.memory);
  }
}
