//! Watches the streams of this entry VM for targets that have fallen silent or are
//! leaving, and has the streams led round them.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { EngineAddress, EngineCalls } from "./routed-request.js";
import { findUnresponsiveTargets, type WatchedStream } from "./silence.js";
import type { TargetBook } from "./target-book.js";

/// How pressing it is to lead a stream round a target.
export enum Urgency {
  /// The target still works on the stream: it stays there until there is another way.
  WhileItRuns = "while it runs",
  /// The target will soon end: the stream is resumed elsewhere if that has a good chance.
  Soon = "soon",
  /// The target holds the stream up.
  Now = "now",
}

/// A stream that can be led round targets. `reroute` names those to avoid.
export interface ReroutableStream extends WatchedStream {
  reroute(excluded: readonly string[], reason: string, urgency: Urgency): void;
}

// Half of the shortest pause objective in use, so that a new path can still be in time.
const checkInterval: Milliseconds = 40;
// A target that leaves goes on for two seconds at least after it has said so. Streams that
// run for longer than a short one are led round it, those that it leads are moved when
// most of that time is over.
const leavingRerouteDelay: Milliseconds = 900;
const leavingResumeDelay: Milliseconds = 1_500;
// Between two questions about the same stream, for the answer to take effect.
const actionInterval: Milliseconds = 250;
const leavingCheckInterval: Milliseconds = 200;
// One report may be late where a machine is slow.
const failedReportThreshold = 2;
const unresponsiveSuspicionDuration: Milliseconds = 1_500;

export class StreamWatch {
  private readonly streams = new Map<string, ReroutableStream>();
  private readonly leavingSince = new Map<string, Milliseconds>();
  private readonly lastActionAt = new Map<string, Milliseconds>();
  private readonly failedReports = new Map<string, number>();
  private leavingCheckedAt: Milliseconds = -Infinity;

  constructor(
    private readonly book: TargetBook,
    private readonly engines: EngineCalls,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Watches `stream` until the function returned is called.
  add(stream: ReroutableStream): () => void {
    this.streams.set(stream.request, stream);
    return () => {
      this.streams.delete(stream.request);
      this.lastActionAt.delete(stream.request);
    };
  }

  get count(): number {
    return this.streams.size;
  }

  /// Checks the streams until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(checkInterval, signal);
      this.check();
    }
  }

  private check(): void {
    if (this.streams.size === 0) return;
    const now = this.clock.monotonic();
    for (const [request, candidates] of findUnresponsiveTargets([...this.streams.values()], now)) {
      const stream = this.streams.get(request);
      if (
        stream === undefined ||
        now - (this.lastActionAt.get(request) ?? -Infinity) < actionInterval
      )
        continue;
      this.lastActionAt.set(request, now);
      void this.queryFirstTarget(stream, candidates);
    }
    if (now - this.leavingCheckedAt < leavingCheckInterval) return;
    this.leavingCheckedAt = now;
    this.checkLeaving(now);
  }

  // The first engine of a path knows which part keeps it waiting. One that does not even
  // say so is itself the one.
  private async queryFirstTarget(
    stream: ReroutableStream,
    candidates: readonly string[],
  ): Promise<void> {
    const first = this.addressOf(stream.targets[0]);
    if (first === undefined) return;
    const stalled = await this.engines.stalledAnswers(first);
    if (!this.streams.has(stream.request)) return;
    if (stalled.isErr) {
      const failures = (this.failedReports.get(first.name) ?? 0) + 1;
      this.failedReports.set(first.name, failures);
      this.logger.warn("first target does not say what holds an answer up", {
        request: stream.request,
        target: first.name,
        reason: stalled.error,
      });
      if (candidates.includes(first.name) && failures >= failedReportThreshold)
        this.handleUnresponsive(stream, first.name, "no report");
      return;
    }
    this.failedReports.delete(first.name);
    const address = stalled.value.get(stream.request);
    const stallingTarget = address === undefined ? undefined : this.book.at(address)?.name;
    if (stallingTarget !== undefined)
      this.handleUnresponsive(stream, stallingTarget, "named by the first target");
  }

  private handleUnresponsive(stream: ReroutableStream, target: string, reason: string): void {
    this.book.suspect(target, `silent: ${reason}`, unresponsiveSuspicionDuration);
    for (const other of this.streams.values()) {
      const isStalled =
        other === stream || this.clock.monotonic() - other.lastProgressAt > other.stallTimeout / 2;
      if (isStalled && other.targets.includes(target)) other.reroute([target], reason, Urgency.Now);
    }
  }

  private checkLeaving(now: Milliseconds): void {
    for (const stream of this.streams.values()) {
      const leavingTimes = stream.targets.map((name) => ({
        name,
        time: this.getTimeSinceLeaving(name, now),
      }));
      const leaving = leavingTimes.filter(({ time }) => time >= leavingRerouteDelay);
      if (leaving.length === 0) continue;
      if (now - (this.lastActionAt.get(stream.request) ?? -Infinity) < actionInterval) continue;
      this.lastActionAt.set(stream.request, now);
      const isUrgent = leaving.some(({ time }) => time >= leavingResumeDelay);
      stream.reroute(
        leaving.map(({ name }) => name),
        "target leaves",
        isUrgent ? Urgency.Soon : Urgency.WhileItRuns,
      );
    }
  }

  // How long ago the target was first seen to leave; 0 for one that stays.
  private getTimeSinceLeaving(name: string, now: Milliseconds): Milliseconds {
    if (this.book.isStaying(name)) {
      this.leavingSince.delete(name);
      return 0;
    }
    const since = this.leavingSince.get(name) ?? now;
    this.leavingSince.set(name, since);
    return now - since;
  }

  private addressOf(name: string | undefined): EngineAddress | undefined {
    return name === undefined ? undefined : this.book.get(name);
  }
}
