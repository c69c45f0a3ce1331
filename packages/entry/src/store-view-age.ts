//! How old this entry VM's view of the store is. The entry VMs that follow the store tell the others
//! how old their views are, so that the others need not ask the store themselves, and notice when
//! nobody passes changes on to them any more.
import type { Clock, Milliseconds } from "@lovagebend/common";

export class StoreViewAge {
  private currentAt: Milliseconds = -Infinity;

  constructor(private readonly clock: Clock) {}

  /// The age of the view: it holds every change that the store acknowledged before that. Infinite
  /// before the first answer.
  get age(): Milliseconds {
    return this.clock.monotonicTime() - this.currentAt;
  }

  /// Records that the view holds all changes that the store had acknowledged at `time`, of the
  /// monotonic clock.
  recordCurrent(time: Milliseconds): void {
    this.currentAt = Math.max(this.currentAt, time);
  }
}
