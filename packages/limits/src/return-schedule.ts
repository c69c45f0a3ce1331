//! When refused callers should come back: one after the other, at the rate that becomes free for
//! them, so that they do not return together.
import type { Milliseconds } from "@lovagebend/common";

const minimumWait: Milliseconds = 200;
const maximumWait: Milliseconds = 3_000;
// Callers heed a wait up to a third of the time that they have left.
const heededPart = 0.3;
const spread = 0.25;

export class ReturnSchedule {
  private nextAt: Milliseconds = -Infinity;

  constructor(private readonly random: () => number) {}

  /// Returns after what time a caller refused at `now` should come back, if `ratePerMillisecond`
  /// becomes free for it and it waits for `timeLeft` at most. Callers for whom the schedule has no
  /// place in that time are spread over the later half of it.
  next(ratePerMillisecond: number, timeLeft: Milliseconds, now: Milliseconds): Milliseconds {
    const longest = Math.max(1, Math.min(maximumWait, timeLeft * heededPart));
    const shortest = Math.min(minimumWait, longest / 2);
    const at = Math.max(this.nextAt, now + shortest);
    const wait = at - now;
    if (wait > longest) return longest * (0.5 + this.random() / 2);
    this.nextAt = at + Math.min(maximumWait, 1 / ratePerMillisecond);
    return Math.min(longest, wait * (1 + spread * (this.random() - 0.5)));
  }
}
