//! How long a stream may be quiet before that means anything: some of its own usual
//! pauses.
import type { Milliseconds } from "@lovagebend/common";
import type { PathPart } from "@lovagebend/routing";
import type { ReroutableStream, Urgency } from "./stream-watch.js";

// A prompt of the usual size is read in well under this time.
const firstEventStallTimeout: Milliseconds = 400;
// Below the shortest pause objective, above the usual pause of busy engines.
const minimumStallTimeout: Milliseconds = 120;
const stallTimeoutInIntervals = 4;
// The part of a new pause in the usual one.
const intervalSmoothing = 0.2;

/// What can be led round targets; resolves when that is done or given up.
export interface Reroutable {
  reroute(
    excluded: readonly string[],
    reason: string,
    urgency: Urgency,
    dispatch: WatchedDispatch,
  ): Promise<void>;
}

/// A stream as the watch sees it, for one offer.
export class WatchedDispatch implements ReroutableStream {
  readonly request: string;
  targets: readonly string[];
  lastProgressAt: Milliseconds;
  stallTimeout: Milliseconds = firstEventStallTimeout;
  private averageInterval: Milliseconds | undefined;
  private isRerouting = false;

  constructor(
    private readonly stream: Reroutable,
    request: string,
    path: readonly PathPart[],
    now: Milliseconds,
  ) {
    this.request = request;
    this.targets = path.map(({ target }) => target);
    this.lastProgressAt = now;
  }

  recordProgress(now: Milliseconds): void {
    const interval = now - this.lastProgressAt;
    this.lastProgressAt = now;
    this.averageInterval =
      this.averageInterval === undefined
        ? 0
        : this.averageInterval + intervalSmoothing * (interval - this.averageInterval);
    this.stallTimeout = Math.max(
      minimumStallTimeout,
      stallTimeoutInIntervals * this.averageInterval,
    );
  }

  recordReroute(path: readonly PathPart[], now: Milliseconds): void {
    this.targets = path.map(({ target }) => target);
    this.lastProgressAt = now;
    this.stallTimeout = firstEventStallTimeout;
  }

  reroute(excluded: readonly string[], reason: string, urgency: Urgency): void {
    if (this.isRerouting) return;
    this.isRerouting = true;
    void this.stream.reroute(excluded, reason, urgency, this).finally(() => {
      this.isRerouting = false;
    });
  }
}
