//! Monitors the streams of this entry VM. Requests rerouting of the streams whose path
//! contains a target that is unresponsive, leaving or gone.
import { runDetached, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { EngineAddress, EngineCalls } from "./routed-request.js";
import { findUnresponsiveTargets, type WatchedStream } from "./unresponsive-targets.js";
import type { TargetRegistry } from "./target-registry.js";

/// How urgently a stream has to be moved off a target.
export enum Urgency {
  /// The target still works on the stream, which stays there until another path is available.
  WhileItRuns = "while it runs",
  /// The target will stop soon: the stream is resumed on another path that avoids targets with
  /// recent refusals, if there is one.
  Soon = "soon",
  /// The target stalls the stream, or the stream stalls and the target is no longer listed.
  Now = "now",
}

/// A monitored stream that can be moved to a path without the `excluded` targets.
export interface ReroutableStream extends WatchedStream {
  /// The time that the rest of the answer takes at its pace, if that is known.
  readonly remainingTime?: Milliseconds | undefined;
  /// Returns the target of the stream's path that had `address` (`host:port`) when the path was
  /// chosen. Another process may listen there now.
  findTarget(address: string): string | undefined;
  reroute(excluded: readonly string[], reason: string, urgency: Urgency): void;
}

// Half of the shortest event gap objective, so that a new path can still meet it.
const checkInterval: Milliseconds = 40;
// A leaving target keeps running for at least two seconds after its announcement. Streams that
// still run after the first delay are rerouted around it. Streams whose first part it runs can
// only be resumed elsewhere, which happens after the second delay, when most of that time has
// passed; short streams end before.
const leavingRerouteDelay: Milliseconds = 900;
const leavingResumeDelay: Milliseconds = 1_500;
// The minimum time between two actions of the same kind on a stream, so that the first can take
// effect.
const actionInterval: Milliseconds = 120;
const minimumLeavingTime: Milliseconds = 2_000;
// The announcement is seen late, and the rest of an answer may slow down.
const trustedLeavingShare = 0.5;
const leavingCheckInterval: Milliseconds = 200;
// On a slow machine a single report may be late, so one failed report is not enough.
const failedReportThreshold = 2;
// It is enough if this many streams stall at once that the silent target alone has in common.
const sharedStallThreshold = 3;
const unresponsiveSuspicionDuration: Milliseconds = 1_500;

export class StreamWatch {
  private readonly streams = new Map<string, ReroutableStream>();
  private readonly leavingSince = new Map<string, Milliseconds>();
  // Stalls are handled as often as allowed, so leaving targets need a time of their own.
  private readonly stallHandledAt = new Map<string, Milliseconds>();
  private readonly leavingHandledAt = new Map<string, Milliseconds>();
  private readonly failedReports = new Map<string, number>();
  /// The number of stalled streams for which each target is a candidate.
  private stallCounts: ReadonlyMap<string, number> = new Map();
  private leavingCheckedAt: Milliseconds = -Infinity;

  constructor(
    private readonly targetRegistry: TargetRegistry,
    private readonly engines: EngineCalls,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Monitors `stream` until the returned function is called.
  add(stream: ReroutableStream): () => void {
    this.streams.set(stream.request, stream);
    return () => {
      if (this.streams.get(stream.request) !== stream) return;
      this.streams.delete(stream.request);
      this.stallHandledAt.delete(stream.request);
      this.leavingHandledAt.delete(stream.request);
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
    const now = this.clock.monotonicTime();
    const unresponsive = findUnresponsiveTargets([...this.streams.values()], now);
    this.stallCounts = countCandidates(unresponsive.values());
    for (const [request, candidates] of unresponsive) {
      const stream = this.streams.get(request);
      if (
        stream === undefined ||
        now - (this.stallHandledAt.get(request) ?? -Infinity) < actionInterval
      )
        continue;
      this.stallHandledAt.set(request, now);
      const gone = stream.targets.filter((name) => !this.isListed(name));
      if (gone.length > 0) stream.reroute(gone, "target is gone", Urgency.Now);
      runDetached(this.logger, "stall query", this.queryFirstTarget(stream, candidates));
    }
    if (now - this.leavingCheckedAt < leavingCheckInterval) return;
    this.leavingCheckedAt = now;
    this.checkLeaving(now);
  }

  // The first engine of a path reports which part stalls the answer. If it repeatedly fails to
  // report and is a candidate itself, it is treated as the unresponsive target.
  private async queryFirstTarget(
    stream: ReroutableStream,
    candidates: readonly string[],
  ): Promise<void> {
    const first = this.getAddress(stream.targets[0]);
    if (first === undefined) return;
    const stalled = await this.engines.getStalledAnswers(first);
    if (this.streams.get(stream.request) !== stream) return;
    if (stalled.isErr) {
      const failures = (this.failedReports.get(first.name) ?? 0) + 1;
      this.failedReports.set(first.name, failures);
      this.logger.warn("first target did not report which target stalls the answer", {
        request: stream.request,
        target: first.name,
        reason: stalled.error,
      });
      if (candidates.includes(first.name) && failures >= this.getReportThreshold(first.name))
        this.handleUnresponsive(stream, first.name, "no report from the first target");
      return;
    }
    this.failedReports.delete(first.name);
    const address = stalled.value.get(stream.request);
    if (address === undefined) return;
    const stallingTarget = stream.findTarget(address);
    if (stallingTarget === undefined) {
      this.logger.info("reported target is not on the path of the answer", {
        request: stream.request,
        address,
      });
      return;
    }
    this.handleUnresponsive(stream, stallingTarget, "reported by the first target");
  }

  private getReportThreshold(target: string): number {
    const stalled = this.stallCounts.get(target) ?? 0;
    const isShared = [...this.stallCounts].every(
      ([other, count]) => other === target || count < stalled,
    );
    return isShared && stalled >= sharedStallThreshold ? 1 : failedReportThreshold;
  }

  private handleUnresponsive(stream: ReroutableStream, target: string, reason: string): void {
    // The check of the streams moves them off a target that is gone.
    if (!this.isListed(target)) return;
    this.targetRegistry.suspect(target, `unresponsive: ${reason}`, unresponsiveSuspicionDuration);
    for (const other of this.streams.values()) {
      const isStalled =
        other === stream ||
        this.clock.monotonicTime() - other.lastProgressAt > other.stallTimeout / 2;
      if (isStalled && other.targets.includes(target)) other.reroute([target], reason, Urgency.Now);
    }
  }

  private checkLeaving(now: Milliseconds): void {
    for (const stream of this.streams.values()) {
      const leavingTimes = stream.targets.map((name) => ({
        name,
        time: this.getTimeSinceLeaving(name, now),
      }));
      const leaving = leavingTimes.filter(
        ({ time }) => time >= leavingRerouteDelay && !endsBefore(stream, time, now),
      );
      if (leaving.length === 0) continue;
      if (now - (this.leavingHandledAt.get(stream.request) ?? -Infinity) < actionInterval) continue;
      this.leavingHandledAt.set(stream.request, now);
      const isUrgent = leaving.some(({ time }) => time >= leavingResumeDelay);
      stream.reroute(
        leaving.map(({ name }) => name),
        "target is leaving",
        isUrgent ? Urgency.Soon : Urgency.WhileItRuns,
      );
    }
  }

  // The time since the target was first observed as leaving; 0 for a staying target.
  private getTimeSinceLeaving(name: string, now: Milliseconds): Milliseconds {
    if (this.targetRegistry.isStaying(name)) {
      this.leavingSince.delete(name);
      return 0;
    }
    const since = this.leavingSince.get(name) ?? now;
    this.leavingSince.set(name, since);
    return now - since;
  }

  private isListed(name: string): boolean {
    return this.targetRegistry.get(name) !== undefined;
  }

  private getAddress(name: string | undefined): EngineAddress | undefined {
    return name === undefined ? undefined : this.targetRegistry.get(name);
  }
}

// Whether the answer ends before a target that has been leaving for `time`. Moving it would only
// prefill its tokens again.
function endsBefore(
  { remainingTime, lastProgressAt, stallTimeout }: ReroutableStream,
  time: Milliseconds,
  now: Milliseconds,
): boolean {
  if (remainingTime === undefined || now - lastProgressAt > stallTimeout) return false;
  return remainingTime <= (minimumLeavingTime - time) * trustedLeavingShare;
}

function countCandidates(candidates: Iterable<readonly string[]>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const names of candidates)
    for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}
