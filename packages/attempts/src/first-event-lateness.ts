//! By how much later than estimated streams begin on a target: from the streams through it that have
//! begun, and from those that still wait. The lateness of a stream may be the fault of any engine
//! on its path, so a target is late only as far as its most punctual recent stream.
import type { Milliseconds } from "@lovagebend/common";

// The queue of an engine changes within about this time: a prompt is prefilled in less than a
// second, and an answer takes two or three.
const timeConstant: Milliseconds = 1_000;
// The weight of a late stream that no punctual one contradicts.
const increaseWeight = 0.3;

/// A stream whose first event is expected at `dueAt`.
export interface AwaitedEvent {
  readonly sentAt: Milliseconds;
  readonly dueAt: Milliseconds;
}

export class FirstEventLateness {
  private value: Milliseconds = 0;
  private recordedAt: Milliseconds = -Infinity;
  // In the order of their dispatch.
  private readonly awaited = new Set<AwaitedEvent>();
  /// The latest dispatch of a stream that has begun.
  private lastBegunSentAt: Milliseconds = -Infinity;

  await(event: AwaitedEvent): void {
    this.awaited.add(event);
  }

  /// Records the first event of a stream.
  recordEvent(event: AwaitedEvent, now: Milliseconds): void {
    this.awaited.delete(event);
    this.lastBegunSentAt = Math.max(this.lastBegunSentAt, event.sentAt);
    this.add(now - event.dueAt, now);
  }

  /// Records that the caller of a stream left before its first event.
  recordAbandoned(event: AwaitedEvent, now: Milliseconds): void {
    this.awaited.delete(event);
    if (now > event.dueAt) this.add(now - event.dueAt, now);
  }

  /// Ends the wait for a stream whose end shows nothing of the queue of the target.
  cancel(event: AwaitedEvent): void {
    this.awaited.delete(event);
  }

  /// Forgets what is known, and the streams that wait.
  clear(): void {
    this.value = 0;
    this.awaited.clear();
  }

  /// Returns the lateness, which decays without new streams.
  read(now: Milliseconds): Milliseconds {
    const recorded = this.value * Math.exp((this.recordedAt - now) / timeConstant);
    const [oldest] = this.awaited;
    // Streams that were sent after the one that waits have begun, so the target works.
    if (oldest === undefined || this.lastBegunSentAt >= oldest.sentAt) return recorded;
    return Math.max(recorded, now - oldest.dueAt);
  }

  private add(lateness: Milliseconds, now: Milliseconds): void {
    const known = this.value * Math.exp((this.recordedAt - now) / timeConstant);
    const late = Math.max(0, lateness);
    this.value = late <= known ? late : known + increaseWeight * (late - known);
    this.recordedAt = now;
  }
}
