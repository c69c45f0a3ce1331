//! The rate of the latest few events, whatever time they took: quick where events are frequent, and
//! still steady where there are two a second.
import type { Milliseconds } from "@lovagebend/common";

// Chance moves the rate of so many events by a third.
const eventCount = 8;
const millisecondsPerSecond = 1_000;

export class LatestRate {
  private readonly times: Milliseconds[] = [];

  add(now: Milliseconds): void {
    this.times.push(now);
    if (this.times.length > eventCount) this.times.shift();
  }

  /// The events a second.
  rate(now: Milliseconds): number {
    const [first] = this.times;
    if (first === undefined) return 0;
    return (this.times.length * millisecondsPerSecond) / Math.max(1, now - first);
  }
}
