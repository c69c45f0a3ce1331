//! Finds the path of the next dispatch of a stream and charges the retry budget for it. A request
//! whose answer has not begun is refused if there is no path; an answer that has begun waits for one.
import { ErrorKind, type Milliseconds } from "@lovagebend/common";
import { RetryPurpose } from "@lovagebend/limits";
import type { PathPart } from "@lovagebend/routing";
import { createRefusal } from "./answer-refusal.js";
import type { AnswerState } from "./answer-state.js";
import type { StreamOutcome } from "./stream-outcome.js";
import { findPatience } from "./caller-departure.js";
import { EnginePath, type ChosenPath } from "./engine-path.js";
import { formatFaults, formatParts, roundTime } from "./stream-log.js";
import { StreamPaths } from "./stream-paths.js";

// Before the answer has begun, an early refusal lets the caller retry instead of waiting for
// many refusals by engines. After that, the caller can only continue with this answer.
export const maximumDispatchesBeforeBegin = 3;
const resumeInterval: Milliseconds = 100;
const maximumRefusalPause: Milliseconds = 800;
const noPathRetryAfterSeconds = 0.5;
// Ends the turn, so that other events are handled before the next search.
const changePause: Milliseconds = 1;
// What is known of a late path decays within about a second.
const minimumBeginWait: Milliseconds = 300;
const maximumBeginWait: Milliseconds = 3_000;

export class PathSearch {
  readonly paths: StreamPaths;
  /// Whether the retry budget has been charged for the next dispatch.
  private isRetryPaid = false;
  private refusalPause = resumeInterval;

  constructor(private readonly state: AnswerState) {
    const { service, promptTokens, route } = state.request;
    this.paths = new StreamPaths(service, state.services, {
      promptTokens,
      objectives: { firstEvent: route.latencyObjective, gap: route.eventGapObjective },
    });
  }

  /// Finds the path of the next dispatch. Returns `undefined` if the deadline passes or the request
  /// ends during the wait.
  find(): Promise<ChosenPath | undefined> {
    return this.state.answer.hasBegun ? this.waitForPath() : this.findFirstPath();
  }

  /// Returns the path to send the stream on now. If targets of `chosen` have left or changed since its
  /// choice, it is given up.
  resolve(chosen: ChosenPath): EnginePath | undefined {
    const { targetRegistry, clock, logger, metrics } = this.state.services;
    const now = clock.monotonicTime();
    const { parts, chosenAt } = chosen;
    const path = EnginePath.resolve(parts, { layerCount: this.layerCount, targetRegistry, now });
    if (path.isOk) return path.value;
    for (const { fault } of path.error) metrics.recordPartFault(fault);
    logger.warn("path given up", {
      request: this.state.request.id,
      path: formatParts(parts),
      faults: formatFaults(path.error),
      age: roundTime(now - chosenAt),
    });
    return undefined;
  }

  /// Logs what has become of a path that is not used because the stream had to wait.
  reportChange(chosen: ChosenPath): void {
    this.resolve(chosen);
  }

  /// Returns the path on which a running answer goes on behind `firstPart`, which it keeps.
  chooseReroute(firstPart: PathPart, excluded: readonly string[]): EnginePath | undefined {
    const { targetRegistry, clock } = this.state.services;
    const parts = this.paths.chooseWithinLinks(firstPart, excluded);
    if (parts === undefined) return undefined;
    const path = EnginePath.resolve(parts, {
      layerCount: this.layerCount,
      targetRegistry,
      now: clock.monotonicTime(),
      keptTarget: firstPart.target,
    });
    return path.unwrapOr(undefined);
  }

  /// Charges the retry budget for the next dispatch, unless that has been done.
  payRetry(): boolean {
    const { request, answer, services } = this.state;
    const { budget, clock, entryVmCount } = services;
    this.isRetryPaid ||= budget.trySpend(
      request.service.name,
      entryVmCount(),
      clock.monotonicTime(),
      answer.hasBegun ? RetryPurpose.Resume : RetryPurpose.Start,
    );
    return this.isRetryPaid;
  }

  /// Records that a dispatch has used what was paid.
  recordDispatch(): void {
    this.isRetryPaid = false;
  }

  /// Pauses an answer that has begun after `outcome`. Each refusal costs a retry, so the answer is
  /// offered less and less often.
  async waitAfter(outcome: StreamOutcome): Promise<void> {
    if (outcome.kind !== "notRun") {
      this.refusalPause = resumeInterval;
      return;
    }
    const { request, services } = this.state;
    await services.clock.sleep(this.refusalPause, request.signal);
    this.refusalPause = Math.min(maximumRefusalPause, this.refusalPause * 2);
  }

  /// Lets other work go on after a path has been given up.
  waitAfterChange(): Promise<void> {
    const { request, services } = this.state;
    return services.clock.sleep(changePause, request.signal);
  }

  private get layerCount(): number {
    return this.state.request.service.model?.layerCount ?? 0;
  }

  private async findFirstPath(): Promise<ChosenPath> {
    const { state, paths } = this;
    const { excludedTargets } = state;
    // A further offer counts as a retry even if it is refused. What full engines accept shows in the
    // first offers.
    const path =
      (await paths.chooseWithoutRefusing(excludedTargets)) ??
      (state.dispatches === 0 ? await paths.chooseWithinLimits(excludedTargets) : undefined);
    const { reason, dispatches } = state;
    const { limitRetryAfter } = paths;
    if (path === undefined && limitRetryAfter !== undefined)
      throw createRefusal(state, ErrorKind.TargetsLimited, reason, limitRetryAfter / 1_000);
    const { refusalRetryAfter } = paths;
    if (path === undefined && dispatches > 0 && refusalRetryAfter !== undefined)
      throw createRefusal(state, ErrorKind.TargetsLimited, reason, refusalRetryAfter / 1_000);
    if (path === undefined) {
      const detail = `${paths.describeMissingPath(excludedTargets)} ${reason}`.trim();
      throw createRefusal(state, ErrorKind.NoPath, detail, noPathRetryAfterSeconds);
    }
    this.assertBeginsInTime(path);
    if (dispatches >= maximumDispatchesBeforeBegin)
      throw createRefusal(state, ErrorKind.TargetUnreachable, reason);
    if (dispatches > 0 && !this.payRetry())
      throw createRefusal(state, ErrorKind.TargetUnreachable, "the retry budget is exhausted");
    return path;
  }

  // Whether the answer goes on before its caller leaves. A caller that has stayed for longer than
  // callers are known to stay is served in any case.
  private continuesInTime({ parts }: ChosenPath): boolean {
    const { request, services, lastEventAt } = this.state;
    const timeLeft = lastEventAt + findPatience(request.route) - services.clock.monotonicTime();
    return timeLeft <= 0 || (this.paths.estimate(parts)?.leastFirstEvent ?? 0) <= timeLeft;
  }

  // Refuses a request that would begin after its caller has left. The chosen path is the quickest one
  // if none keeps the objectives.
  private assertBeginsInTime({ parts }: ChosenPath): void {
    const { state } = this;
    const timeLeft = state.callerLeavesAt - state.services.clock.monotonicTime();
    const needed = this.paths.estimate(parts)?.leastFirstEvent ?? 0;
    if (needed <= timeLeft) return;
    const wait = Math.min(maximumBeginWait, Math.max(minimumBeginWait, needed - timeLeft));
    const detail = `First event in ${Math.round(needed)} ms, the caller leaves in ${Math.round(timeLeft)} ms.`;
    const seconds = (wait * (0.5 + Math.random())) / 1_000;
    throw createRefusal(state, ErrorKind.DeadlineUnreachable, detail, seconds);
  }

  // Waits for missing layers to be placed again, for engines that refused to have capacity again,
  // and for the budget, until the deadline.
  private async waitForPath(): Promise<ChosenPath | undefined> {
    const { paths } = this;
    const { request, services, excludedTargets } = this.state;
    const { clock } = services;
    const { signal, deadline } = request;
    for (;;) {
      if (signal.aborted || clock.monotonicTime() >= deadline) return undefined;
      const excluded = paths.hasPathWithoutRefusing(excludedTargets) ? excludedTargets : [];
      if (paths.hasPathWithoutRefusing(excluded) && this.payRetry()) {
        const path = await paths.chooseWithoutRefusing(excluded);
        if (path !== undefined && this.continuesInTime(path)) return path;
      }
      await clock.sleep(chooseResumeInterval(), signal);
    }
  }
}

// Streams that are lost together don't wait in step.
function chooseResumeInterval(): Milliseconds {
  return resumeInterval * (0.75 + Math.random() / 2);
}
