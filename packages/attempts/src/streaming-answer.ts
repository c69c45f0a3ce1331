//! Executes streaming requests on pipelines of engines that each hold some of the model's
//! layers, and forwards the answer event by event. If a part of the path fails, the answer is
//! rerouted to another path; if its first engine fails, the answer is resumed on another one
//! after the last complete event.
import { isRetryable } from "@lovagebend/catalog";
import {
  ErrorKind,
  RouterError,
  runDetached,
  RunState,
  type Milliseconds,
} from "@lovagebend/common";
import {
  responseHeaders,
  EventSplitter,
  requestHeaders,
  readBody,
  sendToTarget,
  type ExchangeOutcome,
  type TargetResponse,
} from "@lovagebend/forwarding";
import { RetryPurpose, type FairAdmission } from "@lovagebend/limits";
import type { PathPart } from "@lovagebend/routing";
import type http from "node:http";
import { AnswerStart } from "./answer-start.js";
import { createEndError, isEndedByStop, RequestEnd } from "./request-end.js";
import type { AttemptServices, CallerAnswer, RoutedRequest } from "./routed-request.js";
import { StreamPaths } from "./stream-paths.js";
import type { Target } from "./observed-target.js";
import { Urgency } from "./stream-watch.js";
import { WatchedDispatch, type Reroutable } from "./watched-dispatch.js";

/// The result of one dispatch of the stream to a first engine. `hasRun` is set if the engine
/// had begun to answer.
type StreamOutcome =
  | { readonly kind: "ended" }
  | { readonly kind: "notRun"; readonly reason: string }
  | { readonly kind: "broken"; readonly reason: string; readonly hasRun: boolean }
  | {
      readonly kind: "failed";
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    };

const maximumEventBytes = 64 * 1024;
const fullStatus = 503;
// Before the answer has begun, an early refusal lets the caller retry instead of waiting for
// many refusals by engines. After that, the caller can only continue with this answer.
const maximumDispatchesBeforeBegin = 3;
const maximumDispatches = 8;
// Callers abandon a stream after two seconds without an event.
const resumeTimeout: Milliseconds = 1_500;
const resumeInterval: Milliseconds = 100;
// A sound engine may be silent for a second or so.
const silenceTimeout: Milliseconds = 1_500;
const noPathRetryAfterSeconds = 0.5;
const refusedRetryAfterSeconds = 0.3;

/// Executes `request` and streams its events to `answer`. Throws a `RouterError` on a failure
/// before anything has been sent to the caller; a later failure aborts the answer.
export async function answerStreaming(
  request: RoutedRequest,
  answer: CallerAnswer,
  services: AttemptServices,
): Promise<void> {
  await new StreamAnswer(request, answer, services).run();
}

class StreamAnswer implements Reroutable {
  private lastEventId: string | undefined;
  private lastEventAt: Milliseconds = -Infinity;
  private path: readonly PathPart[] = [];
  private readonly excludedTargets: string[] = [];
  private readonly paths: StreamPaths;
  private dispatchAbort: AbortController | undefined;
  /// The first target of the current dispatch, as listed when it was sent.
  private dispatchTarget: Target | undefined;
  private start: AnswerStart;
  /// The number of dispatches on which an engine began to answer.
  private executions = 0;
  /// Whether an engine may have run the request, even if no answer arrived.
  private mayHaveRun = false;
  /// The number of dispatches so far, without the current one.
  private dispatches = 0;
  /// Whether the retry budget has been charged for the dispatch that replaces the current one.
  private isReplacementPaid = false;
  /// Whether an engine has written the answer for longer than its start.
  private hasLived = false;
  /// Times of the current dispatch, for the log.
  private dispatchedAt: Milliseconds = 0;
  private firstEventAfter: Milliseconds | undefined;

  constructor(
    private readonly request: RoutedRequest,
    private readonly answer: CallerAnswer,
    private readonly services: AttemptServices,
  ) {
    this.paths = new StreamPaths(request.service, services);
    this.start = this.createStart();
  }

  async run(): Promise<void> {
    const { request, services } = this;
    const { budget, clock } = services;
    budget.recordRequest(request.service.name, clock.monotonicTime());
    this.assertAdmitted();
    let reason = "";
    for (; this.dispatches < maximumDispatches; this.dispatches += 1) {
      if (this.isEnded()) return;
      if (this.isQuarantined()) return;
      request.progress.recordWait();
      const path = await this.findPath();
      const { limitRetryAfter } = this.paths;
      if (path === undefined && limitRetryAfter !== undefined) {
        this.giveUp(ErrorKind.TargetsLimited, reason, limitRetryAfter / 1_000);
        return;
      }
      if (path === undefined) {
        this.giveUp(
          ErrorKind.NoPath,
          `${this.paths.describeMissingPath(this.excludedTargets)} ${reason}`.trim(),
        );
        return;
      }
      if (this.dispatches >= this.maximumDispatches) break;
      if (this.dispatches > 0 && !this.isReplacementPaid && !this.spendRetry()) {
        this.giveUp(ErrorKind.TargetUnreachable, "the retry budget is exhausted");
        return;
      }
      // The signal may have aborted while the path was being found.
      if (this.isEnded()) return;
      this.path = path;
      this.isReplacementPaid = false;
      const outcome = await this.dispatch();
      if ("reason" in outcome) request.progress.recordFailure(outcome.reason);
      this.logDispatch(path, outcome);
      switch (outcome.kind) {
        case "ended":
          return;
        case "notRun":
          reason = outcome.reason;
          if (this.answer.hasBegun) await clock.sleep(resumeInterval, request.signal);
          continue;
        case "failed":
          this.executions += 1;
          if (this.isRetryAllowed()) continue;
          this.forwardFailure(outcome.status, outcome.rawHeaders, outcome.body);
          return;
        case "broken":
          if (outcome.hasRun) this.executions += 1;
          reason = outcome.reason;
          // The report decides on the next dispatch only while the prompt may be at fault.
          if (this.hasLived) runDetached(services.logger, "crash report", this.reportBrokenStart());
          else await this.reportBrokenStart();
          this.excludeFirst(path, reason);
          if (clock.monotonicTime() >= request.deadline) {
            this.giveUp(ErrorKind.DeadlineExceeded, reason);
            return;
          }
          if (!this.isRetryAllowed()) {
            this.giveUp(ErrorKind.TargetFailed, reason);
            return;
          }
      }
    }
    this.giveUp(ErrorKind.TargetUnreachable, reason);
  }

  // Refuses a request at once that full engines would refuse later.
  private assertAdmitted(): void {
    const { workspace = "" } = this.request;
    const decision = this.admission.admit(workspace, this.services.clock.monotonicTime());
    switch (decision.kind) {
      case "admitted":
        return;
      case "refused": {
        const detail = `Workspace ${workspace}.`;
        const seconds = decision.retryAfter / 1_000;
        throw new RouterError(ErrorKind.ShareExceeded, RunState.NotRun, detail, seconds);
      }
    }
  }

  private get admission(): FairAdmission {
    return this.services.admissions.get(this.request.service.name);
  }

  private get maximumDispatches(): number {
    return this.answer.hasBegun ? maximumDispatches : maximumDispatchesBeforeBegin;
  }

  private isRetryAllowed(): boolean {
    const { route } = this.request;
    return isRetryable(route) && this.executions < route.maximumAttempts;
  }

  private spendRetry(): boolean {
    const { budget, clock, entryVmCount } = this.services;
    return budget.trySpend(
      this.request.service.name,
      entryVmCount(),
      clock.monotonicTime(),
      this.getRetryPurpose(),
    );
  }

  private getRetryPurpose(): RetryPurpose {
    return this.answer.hasBegun ? RetryPurpose.Resume : RetryPurpose.Start;
  }

  // An answer that has begun waits for missing layers to be placed again, or for engines that
  // refused to have capacity again, because each refusal costs a retry. A request whose answer
  // has not begun is refused immediately.
  private async findPath(): Promise<readonly PathPart[] | undefined> {
    const { clock } = this.services;
    const immediatePath = await this.paths.chooseWithoutRefusing(this.excludedTargets);
    if (immediatePath !== undefined || !this.answer.hasBegun)
      return immediatePath ?? this.paths.chooseWithinLimits(this.excludedTargets);
    this.excludedTargets.length = 0;
    const resumeDeadline = this.lastEventAt + resumeTimeout;
    while (clock.monotonicTime() < resumeDeadline && !this.request.signal.aborted) {
      await clock.sleep(resumeInterval, this.request.signal);
      const path = await this.paths.chooseWithoutRefusing([]);
      if (path !== undefined) return path;
    }
    return this.paths.chooseWithinLimits([]);
  }

  private logDispatch(path: readonly PathPart[], outcome: StreamOutcome): void {
    this.services.logger.info("stream offered", {
      request: this.request.id,
      path: path.map(({ target, first, end }) => `${target}:${first}-${end}`).join(" "),
      promptParts: this.request.sharedPromptParts.join(","),
      lastEvent: this.lastEventId,
      firstEventAfter: roundTime(this.firstEventAfter),
      took: roundTime(this.services.clock.monotonicTime() - this.dispatchedAt),
      outcome: outcome.kind,
      ...("reason" in outcome ? { reason: outcome.reason } : {}),
    });
  }

  private createStart(): AnswerStart {
    const { quarantine, clock } = this.services;
    return new AnswerStart(() => {
      this.hasLived = true;
      quarantine.recordSurvival(this.request.sharedPromptParts, clock.monotonicTime());
    });
  }

  // Gives the request up if a part of its prompt is not admitted. An answer that has lived shows
  // that its prompt is sound.
  private isQuarantined(): boolean {
    if (this.hasLived) return false;
    const { quarantine, clock, logger, holdsTrial } = this.services;
    const { id, sharedPromptParts } = this.request;
    const admission = quarantine.admit(sharedPromptParts, clock.monotonicTime(), holdsTrial);
    if (admission.kind === "admitted") return false;
    const { kind, part, retryAfter } = admission;
    logger.warn("prompt not admitted", { request: id, reason: kind, part });
    this.giveUp(ErrorKind.PromptQuarantined, `Part ${part} is ${kind}.`, retryAfter / 1_000);
    return true;
  }

  private async reportBrokenStart(): Promise<void> {
    if (this.dispatchTarget === undefined || this.start.isOver) return;
    if (this.dispatchAbort?.signal.aborted === true) return;
    const { crashReporter } = this.services;
    await crashReporter.reportBrokenStart(this.dispatchTarget, this.request, this.start.hasEvents);
  }

  // An engine that broke a stream off is excluded from the next dispatches of the stream. An
  // engine whose dispatch this entry VM aborted because of another engine remains available.
  private excludeFirst(path: readonly PathPart[], reason: string): void {
    const first = path[0]?.target;
    if (first === undefined || this.dispatchAbort?.signal.aborted === true) return;
    this.excludedTargets.push(first);
    this.services.targetRegistry.suspect(first, reason);
  }

  // Whether the request has ended. Breaks an answer off that has begun; throws if none has begun
  // or if the caller has left.
  private isEnded(): boolean {
    const { signal } = this.request;
    if (!signal.aborted) return false;
    if (!this.answer.hasBegun || !isEndedByStop(signal))
      throw createEndError(signal, this.mayHaveRun);
    this.breakOff(ErrorKind.StoppedUnanswered, RequestEnd.VmStopping);
    return true;
  }

  private breakOff(kind: ErrorKind, reason: string): void {
    this.services.logger.warn("stream broken off", { request: this.request.id, kind, reason });
    this.answer.abort(`${kind}: ${reason}`);
  }

  private giveUp(kind: ErrorKind, reason: string, retryAfterSeconds?: number): void {
    if (this.isEnded()) return;
    if (this.answer.hasBegun) {
      this.breakOff(kind, reason);
      return;
    }
    if (!this.mayHaveRun) {
      const seconds =
        kind === ErrorKind.NoPath ? noPathRetryAfterSeconds : refusedRetryAfterSeconds;
      throw new RouterError(kind, RunState.NotRun, reason, retryAfterSeconds ?? seconds);
    }
    const isNotRunKind =
      kind === ErrorKind.NoPath ||
      kind === ErrorKind.TargetUnreachable ||
      kind === ErrorKind.TargetsLimited ||
      kind === ErrorKind.PromptQuarantined;
    throw new RouterError(isNotRunKind ? ErrorKind.TargetFailed : kind, RunState.Unknown, reason);
  }

  private forwardFailure(status: number, rawHeaders: readonly string[], body: Buffer): void {
    if (this.answer.hasBegun) {
      this.answer.abort(`the resumed answer failed with status ${status}`);
      return;
    }
    this.answer.begin(status, responseHeaders(rawHeaders), { kind: "length", bytes: body.length });
    this.answer.end(body);
  }

  private async dispatch(): Promise<StreamOutcome> {
    const { request, services } = this;
    const { targetRegistry, clock, connections, headerNames } = services;
    const first = this.path[0] === undefined ? undefined : targetRegistry.get(this.path[0].target);
    if (first === undefined)
      return { kind: "notRun", reason: "the first target is no longer listed" };
    const remainingTime = request.deadline - clock.monotonicTime();
    this.dispatchAbort = new AbortController();
    this.dispatchTarget = first;
    request.progress.recordOffer(first.name);
    this.start = this.createStart();
    this.dispatchedAt = clock.monotonicTime();
    this.firstEventAfter = undefined;
    const timeout = setTimeout(() => this.dispatchAbort?.abort(), Math.max(1, remainingTime));
    const abortDispatch = (): void => this.dispatchAbort?.abort();
    request.signal.addEventListener("abort", abortDispatch);
    const releases = this.path.map(({ target }) =>
      targetRegistry.begin(target, request.tokens, request.promptTokens),
    );
    try {
      const watched = new WatchedDispatch(this, request.id, this.path, clock.monotonicTime());
      const unwatch = services.watch.add(watched);
      try {
        const reply = await sendToTarget(
          {
            id: request.id,
            host: first.host,
            port: first.port,
            method: request.method,
            path: request.path,
            headers: requestHeaders(
              request,
              {
                deadline: remainingTime,
                expectedTarget: first.name,
                workspace: request.workspace,
                path: services.formatPath(this.path, targetRegistry),
                lastEventId: this.lastEventId,
              },
              headerNames,
            ),
            body: request.body,
            requiresNewConnection: false,
            signal: this.dispatchAbort.signal,
          },
          connections,
          headerNames,
        );
        return await this.handleReply(reply, first.name, watched);
      } finally {
        unwatch();
      }
    } finally {
      clearTimeout(timeout);
      request.signal.removeEventListener("abort", abortDispatch);
      for (const release of releases) release();
    }
  }

  private async handleReply(
    reply: ExchangeOutcome,
    first: string,
    watched: WatchedDispatch,
  ): Promise<StreamOutcome> {
    const { targetRegistry } = this.services;
    const wasAborted = this.dispatchAbort?.signal.aborted === true;
    switch (reply.kind) {
      case "notSent":
        if (!wasAborted) targetRegistry.suspect(first, reply.reason);
        return { kind: "notRun", reason: reply.reason };
      case "unknown":
        if (!wasAborted) targetRegistry.suspect(first, reply.reason);
        this.mayHaveRun = true;
        // A silent engine from which the stream is moved away may still run it.
        return { kind: "broken", reason: reply.reason, hasRun: wasAborted };
      case "answered": {
        const { status, message, isNotRun, faultyTarget } = reply.response;
        const limit = message.headers[this.services.headerNames.requestLimit];
        if (this.dispatchTarget !== undefined)
          this.services.requestLimiter.recordAnswer(
            this.dispatchTarget,
            limit?.toString(),
            this.dispatchedAt,
          );
        if (status === 200 || !isNotRun) this.mayHaveRun = true;
        if (status === 200) {
          this.admission.recordAccepted(this.services.clock.monotonicTime());
          for (const { target } of this.path) targetRegistry.recordAcceptance(target);
          return this.forwardEvents(reply.response, watched);
        }
        const body = await readBody(reply.response, this.services.answerMemory);
        if (isNotRun) {
          const refusingTarget =
            faultyTarget === undefined
              ? first
              : (targetRegistry.findByAddress(faultyTarget)?.name ?? first);
          targetRegistry.recordRefusal(refusingTarget);
          if (status === fullStatus)
            this.admission.recordRefused(this.services.clock.monotonicTime());
          this.excludedTargets.push(refusingTarget);
          return { kind: "notRun", reason: `${refusingTarget} refused with status ${status}` };
        }
        if (body.isErr) return { kind: "broken", reason: body.error, hasRun: true };
        return { kind: "failed", status, rawHeaders: message.rawHeaders, body: body.value };
      }
    }
  }

  private beginAnswer(message: http.IncomingMessage, isDelimited: boolean): void {
    if (this.answer.hasBegun) return;
    const framing = isDelimited ? "chunked" : "untilClose";
    this.answer.begin(200, responseHeaders(message.rawHeaders), { kind: framing });
  }

  private forwardEvents(
    { message, getConnectionError, isDelimited }: TargetResponse,
    watched: WatchedDispatch,
  ): Promise<StreamOutcome> {
    const splitter = new EventSplitter(maximumEventBytes);
    return new Promise((resolve) => {
      const resolveBroken = (reason: string): void => {
        resolve({ kind: "broken", reason, hasRun: true });
        message.destroy();
      };
      message.on("data", (chunk: Buffer) => {
        const events = splitter.push(chunk);
        if (splitter.hasOversizedEvent) resolveBroken("an event exceeds the maximum size");
        if (events.count === 0) return;
        // Comments are no progress. Some streams have no identifiers at all.
        const isProgress =
          events.lastEventId === undefined
            ? this.lastEventId === undefined
            : events.lastEventId !== this.lastEventId;
        this.lastEventId = events.lastEventId ?? this.lastEventId;
        if (isProgress) this.lastEventAt = this.services.clock.monotonicTime();
        this.firstEventAfter ??= this.lastEventAt - this.dispatchedAt;
        this.start.recordEvents(this.lastEventAt);
        this.beginAnswer(message, isDelimited);
        if (isProgress) watched.recordProgress(this.lastEventAt);
        if (this.answer.send(events.bytes)) return;
        message.pause();
        watched.suspend();
        this.answer.onceRead(() => {
          watched.resume(this.services.clock.monotonicTime());
          message.resume();
        });
      });
      message.on("error", (error) => {
        resolveBroken(error.message);
      });
      let hasEnd = false;
      message.on("close", () => {
        if (!hasEnd) resolveBroken("the connection closed before the end of the stream");
      });
      message.on("end", () => {
        if (!message.complete || getConnectionError() !== undefined || splitter.pendingBytes > 0) {
          resolveBroken(getConnectionError() ?? "the stream ended within an event");
          return;
        }
        hasEnd = true;
        if (isDelimited) this.start.recordCompletion();
        watched.suspend();
        const ending = this.isEndOfTarget(isDelimited).then((isEndOfTarget) => {
          if (isEndOfTarget) {
            resolveBroken("the target ended, and with it the stream without a length");
            return;
          }
          for (const { target } of this.path) this.services.targetRegistry.recordSuccess(target);
          this.beginAnswer(message, isDelimited);
          this.answer.end();
          resolve({ kind: "ended" });
        });
        runDetached(this.services.logger, "end of a stream", ending);
      });
    });
  }

  // The end of a stream without a length looks the same whether the target has completed the
  // stream or has ended itself.
  private async isEndOfTarget(isDelimited: boolean): Promise<boolean> {
    if (isDelimited || this.dispatchTarget === undefined) return false;
    return this.services.crashReporter.hasEnded(this.dispatchTarget, silenceTimeout);
  }

  /// Moves the answer off the `excluded` targets: to another path behind the same first engine
  /// if there is one, otherwise by resuming it on another path if `urgency` requires it.
  async reroute(
    excluded: readonly string[],
    reason: string,
    urgency: Urgency,
    watched: WatchedDispatch,
  ): Promise<void> {
    const { targetRegistry, engines, logger, formatPath, clock } = this.services;
    const firstPart = this.path[0];
    const address = firstPart === undefined ? undefined : targetRegistry.get(firstPart.target);
    if (firstPart === undefined || address === undefined || excluded.includes(firstPart.target)) {
      this.redispatch(urgency, excluded);
      return;
    }
    const path = this.paths.choose(firstPart, excluded);
    if (path === undefined) return;
    const change = await engines.changePath(
      address,
      this.request.id,
      formatPath(path, targetRegistry),
    );
    logger.info("path changed", {
      request: this.request.id,
      avoid: excluded,
      reason,
      urgency,
      path: path.map(({ target, first, end }) => `${target}:${first}-${end}`).join(" "),
      outcome: change,
    });
    switch (change.kind) {
      case "changed":
        this.path = path;
        watched.recordReroute(path, clock.monotonicTime());
        return;
      case "refused":
        if (change.target !== undefined) targetRegistry.recordRefusal(change.target);
        break;
      case "unknown":
        break;
    }
    if (urgency === Urgency.Now) this.redispatch(urgency, excluded);
  }

  // Aborts the current dispatch if the request can be dispatched again now. Otherwise the dispatch
  // goes on, because a silent engine may continue after a second or so.
  private redispatch(urgency: Urgency, excluded: readonly string[]): void {
    const { route } = this.request;
    if (this.dispatchAbort === undefined || this.dispatchAbort.signal.aborted) return;
    // The current dispatch counts as an execution.
    if (!isRetryable(route) || this.executions + 1 >= route.maximumAttempts) return;
    if (this.dispatches + 1 >= this.maximumDispatches) return;
    if (!this.canReplace(urgency, excluded) || !this.spendRetry()) return;
    this.isReplacementPaid = true;
    this.dispatchAbort.abort();
  }

  // Whether `findPath` would find a path at once, or soon for an answer that has begun.
  private canReplace(urgency: Urgency, excluded: readonly string[]): boolean {
    switch (urgency) {
      case Urgency.WhileItRuns:
        return false;
      case Urgency.Soon:
        return this.paths.hasPathWithoutRefusing(excluded);
      case Urgency.Now:
        return this.answer.hasBegun
          ? this.paths.hasPathWithoutRefusing(excluded)
          : this.paths.hasPath([...this.excludedTargets, ...excluded]);
    }
  }
}

function roundTime(time: Milliseconds | undefined): Milliseconds | undefined {
  return time === undefined ? undefined : Math.round(time);
}
