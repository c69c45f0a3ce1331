//! One dispatch of a stream to the first engine of a path: the request, the engine's reply, and the
//! events until the stream ends. What becomes of the events is up to the receiver.
import { isRetryable } from "@lovagebend/catalog";
import { frameReceived, runDetached, type Milliseconds } from "@lovagebend/common";
import {
  EventSplitter,
  readBody,
  requestHeaders,
  sendToTarget,
  type ConnectionKind,
  type ExchangeOutcome,
  type TargetResponse,
} from "@lovagebend/forwarding";
import type { Result } from "true-myth";
import { recordAnswerHead } from "./answer-head.js";
import type { AnswerStart } from "./answer-start.js";
import type { EnginePath } from "./engine-path.js";
import { FirstEventWait } from "./first-event-wait.js";
import { isLateStart } from "./late-start.js";
import type { Target } from "./observed-target.js";
import { RequestEnd } from "./request-end.js";
import type { AttemptServices, RoutedRequest } from "./routed-request.js";
import { DispatchEnd, type StreamOutcome, type StreamReceiver } from "./stream-outcome.js";
import { countMaximumEvents, WatchedDispatch } from "./watched-dispatch.js";

const maximumEventBytes = 64 * 1024;
const fullStatus = 503;
// A sound engine may be silent for a second or so.
const silenceTimeout: Milliseconds = 1_500;

export class StreamDispatch {
  /// The first engine of the path.
  readonly target: Target;
  readonly dispatchedAt: Milliseconds;
  readonly outcome: Promise<StreamOutcome>;
  /// The time until the first event.
  firstEventAfter: Milliseconds | undefined;
  /// The response of the engine, when it has begun to answer.
  response: TargetResponse | undefined;
  /// What the request was sent on, or was to be sent on, once the exchange has ended or the answer has
  /// begun.
  connection: ConnectionKind | undefined;
  /// Whether the engine may have run the request, even if no answer arrived.
  mayHaveRun = false;
  /// Whether the outcome is known.
  isOver = false;
  private readonly abort = new AbortController();
  private readonly watched: WatchedDispatch;
  private unwatch: (() => void) | undefined;
  private readonly firstEventWait: FirstEventWait | undefined;
  // Whether the engine has added an event to the stream.
  private hasProgressed = false;

  /// Sends the request to the first engine of `path`.
  constructor(
    public path: EnginePath,
    readonly start: AnswerStart,
    private readonly lastEventId: string | undefined,
    private readonly request: RoutedRequest,
    private readonly receiver: StreamReceiver,
    private readonly services: AttemptServices,
    /// Whether to open a new connection. What broke an earlier dispatch of the stream may have broken
    /// kept connections too.
    private readonly requiresNewConnection: boolean,
    /// The estimated time to the first event.
    readonly expectedFirstEvent?: Milliseconds,
  ) {
    this.target = path.first.engine;
    this.dispatchedAt = services.clock.monotonicTime();
    const { targetRegistry } = services;
    this.watched = new WatchedDispatch(
      receiver,
      request.id,
      path.parts,
      this.dispatchedAt,
      targetRegistry,
      lastEventId === undefined ? countMaximumEvents(request) : undefined,
    );
    if (expectedFirstEvent !== undefined)
      this.firstEventWait = new FirstEventWait(
        path.parts,
        this.dispatchedAt,
        expectedFirstEvent,
        targetRegistry,
      );
    this.outcome = this.run().finally(() => {
      this.isOver = true;
    });
  }

  /// Whether this entry VM has ended the dispatch.
  get isDropped(): boolean {
    return this.abort.signal.aborted;
  }

  // Whether this entry VM has ended the exchange, by dropping the dispatch or at the deadline.
  private get isOwnEnd(): boolean {
    return this.isDropped || this.services.clock.monotonicTime() >= this.request.deadline;
  }

  /// Begins to watch the dispatch for stalls and for targets that leave.
  watch(): void {
    if (!this.isOver) this.unwatch ??= this.services.watch.add(this.watched);
  }

  /// Ends the dispatch. Its engine may still run the request.
  drop(reason: DispatchEnd): void {
    this.abort.abort(reason);
  }

  /// Records that the engine has added `events` to the stream. Comments, and events that the
  /// stream has already, are none.
  recordProgress(events: number): void {
    this.hasProgressed = true;
    this.watched.recordProgress(this.services.clock.monotonicTime(), events);
  }

  recordReroute(path: EnginePath): void {
    this.firstEventWait?.cancel();
    this.path = path;
    this.watched.recordReroute(path.parts, this.services.clock.monotonicTime());
  }

  private async run(): Promise<StreamOutcome> {
    const { request, services, path } = this;
    const remainingTime = request.deadline - this.dispatchedAt;
    const endWithRequest = (): void => {
      this.drop(DispatchEnd.RequestEnded);
    };
    request.signal.addEventListener("abort", endWithRequest);
    if (request.signal.aborted) endWithRequest();
    const releases = path.parts.map(({ target }) =>
      services.targetRegistry.begin(target, request.tokens, request.promptTokens),
    );
    try {
      return await this.handleReply(await this.send(remainingTime));
    } finally {
      this.endWait();
      if (request.signal.reason === RequestEnd.CallerGone) this.recordWait();
      this.unwatch?.();
      request.signal.removeEventListener("abort", endWithRequest);
      for (const release of releases) release();
    }
  }

  private recordFirstEvent(now: Milliseconds): void {
    const { firstEventWait, services } = this;
    this.firstEventAfter = now - this.dispatchedAt;
    firstEventWait?.recordEvent(now);
    if (firstEventWait === undefined) return;
    services.metrics.recordEstimateError((this.firstEventAfter - firstEventWait.expected) / 1_000);
  }

  // An end that the caller or its deadline brought about shows that the path was late.
  private endWait(): void {
    const now = this.services.clock.monotonicTime();
    const isAbandoned = this.request.signal.aborted || now >= this.request.deadline;
    if (isAbandoned) this.firstEventWait?.recordAbandoned(now);
    else this.firstEventWait?.cancel();
  }

  private send(remainingTime: Milliseconds): Promise<ExchangeOutcome> {
    const { request, services, target } = this;
    const { connections, headerNames } = services;
    return sendToTarget(
      {
        id: request.id,
        service: request.service.name,
        host: target.host,
        port: target.port,
        method: request.method,
        path: request.path,
        headers: requestHeaders(
          request,
          {
            deadline: remainingTime,
            expectedTarget: target.name,
            workspace: request.workspace,
            priority: request.enginePriority,
            path: services.formatPath(this.path),
            lastEventId: this.lastEventId,
          },
          headerNames,
        ),
        body: request.body,
        requiresNewConnection: this.requiresNewConnection,
        isRetryable: isRetryable(request.route),
        timeLeft: remainingTime,
        signal: this.abort.signal,
      },
      connections,
      headerNames,
    );
  }

  private async handleReply(reply: ExchangeOutcome): Promise<StreamOutcome> {
    const { services, target } = this;
    const { targetRegistry } = services;
    this.connection = reply.connection;
    switch (reply.kind) {
      case "notSent":
        if (!this.isOwnEnd) {
          targetRegistry.suspect(target.name, reply.reason);
          await services.targetLinks.check(this.request.service.name);
        }
        return { kind: "notRun", reason: this.explain(reply.reason) };
      case "unknown":
        if (!this.isOwnEnd) targetRegistry.suspect(target.name, reply.reason);
        this.mayHaveRun = true;
        // A silent engine from which the stream is moved away may still run it.
        return this.createBroken(reply.reason, this.isOwnEnd);
      case "answered":
        return this.handleAnswer(reply.response);
    }
  }

  private async handleAnswer(response: TargetResponse): Promise<StreamOutcome> {
    const { services, target } = this;
    const { targetRegistry, clock } = services;
    const { status, isNotRun, faultyTarget } = response;
    recordAnswerHead(target, response, this.dispatchedAt, services);
    const admission = services.admissions.get(this.request.service.name);
    if (status === 200 || !isNotRun) this.mayHaveRun = true;
    if (status === 200) {
      admission.recordAccepted(clock.monotonicTime());
      this.response = response;
      return this.forwardEvents(response);
    }
    const reading = readBody(response, services.answerMemory);
    if (!isNotRun) return this.handleFailure(response, await reading);
    // Its connection can be kept once the rest has arrived, which nobody waits for.
    runDetached(services.logger, "rest of a refusal", reading);
    const refusingTarget =
      faultyTarget === undefined
        ? target.name
        : (this.path.findTarget(faultyTarget) ?? target.name);
    targetRegistry.recordRefusal(refusingTarget);
    if (status === fullStatus) admission.recordRefused(clock.monotonicTime());
    const reason = `${refusingTarget} refused with status ${status}`;
    return { kind: "notRun", reason, refusedBy: refusingTarget };
  }

  private handleFailure(response: TargetResponse, body: Result<Buffer, string>): StreamOutcome {
    if (body.isErr) return this.createBroken(body.error, true);
    const { status, message } = response;
    const framing = frameReceived(response, message.headers, body.value.length);
    return { kind: "failed", status, rawHeaders: message.rawHeaders, framing, body: body.value };
  }

  // Tells admission of a start that comes so late that the engine must have queued the request. A
  // caller that leaves before it has waited as long.
  private recordWait(): void {
    const { request, services, dispatchedAt } = this;
    if (this.firstEventAfter !== undefined || this.lastEventId !== undefined) return;
    const now = services.clock.monotonicTime();
    if (isLateStart(request.route, now - dispatchedAt))
      services.admissions.get(request.service.name).recordLateStart(dispatchedAt, now);
  }

  private forwardEvents(response: TargetResponse): Promise<StreamOutcome> {
    const { message, getConnectionError, isDelimited } = response;
    const { clock, targetRegistry } = this.services;
    const splitter = new EventSplitter(maximumEventBytes);
    return new Promise((resolve) => {
      const resolveBroken = (reason: string): void => {
        resolve(this.createBroken(reason, true));
        message.destroy();
      };
      message.on("data", (chunk: Buffer) => {
        if (this.isDropped) return;
        const events = splitter.push(chunk);
        if (splitter.hasOversizedEvent) resolveBroken("an event exceeds the maximum size");
        if (events.count === 0) return;
        this.recordWait();
        if (this.firstEventAfter === undefined) this.recordFirstEvent(clock.monotonicTime());
        this.start.recordEvents(clock.monotonicTime());
        targetRegistry.recordResponse(this.target.name);
        if (this.receiver.receive(this, events, response)) return;
        message.pause();
        this.watched.suspend();
        this.receiver.onceRead(() => {
          this.watched.resume(clock.monotonicTime());
          message.resume();
        });
      });
      message.on("error", (error) => {
        resolveBroken(error.message);
      });
      // A stream that has ended may still wait for the word of its target.
      this.abort.signal.addEventListener("abort", () => {
        resolveBroken("dropped");
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
        const isEmpty = !this.hasProgressed && this.lastEventId === undefined;
        if (isEmpty && !isDelimited) {
          resolveBroken("the connection closed before the first event");
          return;
        }
        hasEnd = true;
        if (isDelimited) this.start.recordCompletion();
        this.watched.suspend();
        void this.findBreak(isDelimited).then((reason) => {
          if (reason === undefined) resolve({ kind: "ended" });
          else resolveBroken(reason);
        });
      });
    });
  }

  // Why the end of the answer is not the end of the stream, if so. Without a length, it looks the
  // same whether the target has completed the stream, has ended itself or has lost the rest.
  private async findBreak(isDelimited: boolean): Promise<string | undefined> {
    if (isDelimited) return undefined;
    const { clock, crashReporter } = this.services;
    const timeLeft = this.request.deadline - clock.monotonicTime();
    const patience = Math.max(0, Math.min(silenceTimeout, timeLeft));
    if (await crashReporter.hasEnded(this.target, patience))
      return "the target ended, and with it the stream without a length";
    return this.hasProgressed ? undefined : "the connection closed before an event of the rest";
  }

  private createBroken(reason: string, hasRun: boolean): StreamOutcome {
    return { kind: "broken", reason: this.explain(reason), hasRun, isOwnEnd: this.isOwnEnd };
  }

  // The error of an exchange that this entry VM ended says only that it was aborted.
  private explain(reason: string): string {
    return this.isDropped ? String(this.abort.signal.reason) : reason;
  }
}
