//! The pauses that the caller of a stream sees: the time to its first event and the longest time
//! between two of its events, with whether the stream was moved to other engines in or before it.
import type { Milliseconds } from "@lovagebend/common";
import type { PartFault } from "./engine-path.js";

/// Whether a stream was moved before its longest pause, in it, or neither.
export enum PauseCause {
  NotRerouted = "not_rerouted",
  ReroutedBefore = "rerouted_before",
  ReroutedDuring = "rerouted_during",
}

/// Takes the pauses of streams that have ended.
export interface StreamMetrics {
  recordFirstEvent(seconds: number): void;
  recordLongestPause(seconds: number, cause: PauseCause): void;
  /// Records by how much longer than estimated a first event took; negative if it came sooner.
  recordEstimateError(seconds: number): void;
  /// Records whether a prompt was allowed to cross a link between data centres.
  recordLinkTransfer(isAllowed: boolean): void;
  /// Records that a part of a path could no longer be used when a stream was to be sent on it.
  recordPartFault(fault: PartFault): void;
}

export class StreamPauses {
  private lastEventAt: Milliseconds | undefined;
  private movedAt: Milliseconds = -Infinity;
  private firstAfter: Milliseconds | undefined;
  private longestPause: Milliseconds = 0;
  private cause = PauseCause.NotRerouted;

  constructor(private readonly startedAt: Milliseconds) {}

  /// The time to the first event of the stream, over all its dispatches.
  get firstEventAfter(): Milliseconds | undefined {
    return this.firstAfter;
  }

  get longest(): Milliseconds {
    return this.longestPause;
  }

  get longestCause(): PauseCause {
    return this.cause;
  }

  recordEvent(now: Milliseconds): void {
    this.firstAfter ??= now - this.startedAt;
    this.closePause(now);
    this.lastEventAt = now;
  }

  recordMove(now: Milliseconds): void {
    this.movedAt = now;
  }

  /// Records that the caller has read everything. What came before is no pause of the engines.
  recordRead(now: Milliseconds): void {
    if (this.lastEventAt !== undefined) this.lastEventAt = now;
  }

  /// Counts the silence since the last event of a stream that did not end whole.
  recordBreak(now: Milliseconds): void {
    this.closePause(now);
    if (this.lastEventAt !== undefined) this.lastEventAt = now;
  }

  /// Reports a stream that has ended.
  report(metrics: StreamMetrics): void {
    if (this.firstAfter === undefined) return;
    metrics.recordFirstEvent(this.firstAfter / 1_000);
    metrics.recordLongestPause(this.longestPause / 1_000, this.cause);
  }

  private closePause(now: Milliseconds): void {
    const { lastEventAt, movedAt } = this;
    if (lastEventAt === undefined || now - lastEventAt <= this.longestPause) return;
    this.longestPause = now - lastEventAt;
    if (movedAt > lastEventAt) this.cause = PauseCause.ReroutedDuring;
    else this.cause = movedAt > -Infinity ? PauseCause.ReroutedBefore : PauseCause.NotRerouted;
  }
}
