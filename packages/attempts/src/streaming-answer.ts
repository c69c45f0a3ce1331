//! Executes streaming requests on pipelines of engines that each hold some of the model's
//! layers, and forwards the answer event by event. If a part of the path fails, the answer is
//! rerouted to another path. If its first engine is lost, the answer is resumed on another one after
//! the last complete event. An engine that is only silent keeps the stream until another one
//! continues it: whichever of the two sends the next event goes on.
import { isRetryable } from "@lovagebend/catalog";
import { ErrorKind, RouterError, RunState } from "@lovagebend/common";
import { responseHeaders, type CompleteEvents, type TargetResponse } from "@lovagebend/forwarding";
import { breakOff, checkEnded, createRefusal, getErrorKind } from "./answer-refusal.js";
import { AnswerStart } from "./answer-start.js";
import { AnswerState } from "./answer-state.js";
import { recordOutcome } from "./dispatch-record.js";
import { DispatchSuccession } from "./dispatch-succession.js";
import type { EnginePath } from "./engine-path.js";
import { PathSearch } from "./path-search.js";
import { assertPromptAdmitted, findPromptRefusal, waitForEvidence } from "./prompt-admission.js";
import type { AttemptServices, CallerAnswer, RoutedRequest } from "./routed-request.js";
import { StreamDispatch } from "./stream-dispatch.js";
import { DispatchEnd, type StreamOutcome, type StreamReceiver } from "./stream-outcome.js";
import { AnswerEnd, findAnswerEnd } from "./stream-end.js";
import type { Urgency } from "./stream-watch.js";

/// Executes `request` and streams its events to `answer`. Throws a `RouterError` on a failure
/// before anything has been sent to the caller; a later failure aborts the answer.
export async function answerStreaming(
  request: RoutedRequest,
  answer: CallerAnswer,
  services: AttemptServices,
): Promise<void> {
  const stream = new StreamAnswer(request, answer, services);
  try {
    await stream.run();
  } finally {
    request.progress.recordRun(stream.runCount);
    stream.reportPauses();
  }
}

class StreamAnswer implements StreamReceiver {
  private readonly state: AnswerState;
  private readonly search: PathSearch;
  private readonly succession: DispatchSuccession;

  constructor(
    private readonly request: RoutedRequest,
    private readonly answer: CallerAnswer,
    private readonly services: AttemptServices,
  ) {
    this.state = new AnswerState(request, answer, services);
    this.search = new PathSearch(this.state);
    this.succession = new DispatchSuccession(this.state, this.search, (path) =>
      this.createDispatch(path),
    );
  }

  async run(): Promise<void> {
    const { request, services, state, answer } = this;
    const { budget, clock } = services;
    budget.recordRequest(request.service.name, clock.monotonicTime());
    this.assertAdmitted();
    for (;;) {
      if (checkEnded(state)) return;
      if (!answer.hasBegun) assertPromptAdmitted(state);
      this.assertLinks();
      request.progress.recordWait();
      const chosen = await this.search.find();
      // The signal may have aborted while the path was being found.
      if (checkEnded(state)) return;
      if (chosen === undefined) {
        breakOff(state, AnswerEnd.DeadlinePassed);
        return;
      }
      const path = this.search.resolve(chosen);
      if (path === undefined) {
        await this.search.waitAfterChange();
        continue;
      }
      // The evidence may have come during the wait. Nothing may be awaited between here and the
      // dispatch, as the path and the admission hold only for this moment.
      const refusal = answer.hasBegun ? findPromptRefusal(state) : undefined;
      if (refusal !== undefined) {
        if (await waitForEvidence(state, refusal)) return;
        this.search.reportChange(chosen);
        continue;
      }
      if (answer.hasBegun) state.pauses.recordMove(clock.monotonicTime());
      state.current = this.createDispatch(path);
      request.progress.recordOffer(state.current.target.name);
      state.current.watch();
      const outcome = await this.follow(state.current);
      if (this.finish(outcome)) return;
      if (answer.hasBegun) await this.search.waitAfter(outcome);
    }
  }

  /// The number of engines that may have run the request.
  get runCount(): number {
    const { runs, successor } = this.state;
    return runs.size + (successor === undefined ? 0 : 1);
  }

  reportPauses(): void {
    this.state.pauses.report(this.services.metrics);
  }

  /// Forwards events of the current dispatch, or of its successor, which then replaces it.
  receive(dispatch: StreamDispatch, events: CompleteEvents, response: TargetResponse): boolean {
    const { state } = this;
    // Comments are no progress. Some streams have no identifiers at all.
    const isProgress =
      events.lastEventId === undefined
        ? state.lastEventId === undefined
        : events.lastEventId !== state.lastEventId;
    if (dispatch === state.successor) {
      if (!isProgress) return true;
      this.succession.promoteSuccessor();
    }
    if (dispatch !== state.current) return true;
    if (isProgress) {
      state.successor?.drop(DispatchEnd.Superfluous);
      state.lastEventId = events.lastEventId ?? state.lastEventId;
      state.lastEventAt = this.services.clock.monotonicTime();
      state.pauses.recordEvent(state.lastEventAt);
      dispatch.recordProgress(events.count);
    }
    this.beginAnswer(response);
    return this.answer.send(events.bytes);
  }

  onceRead(callback: () => void): void {
    this.answer.onceRead(() => {
      this.state.pauses.recordRead(this.services.clock.monotonicTime());
      callback();
    });
  }

  reroute(excluded: readonly string[], reason: string, urgency: Urgency): Promise<void> {
    return this.succession.reroute(excluded, reason, urgency);
  }

  // Refuses a request at once that full engines would refuse later.
  private assertAdmitted(): void {
    const { workspace = "", priority, deadline, service } = this.request;
    const { admissions, clock } = this.services;
    const now = clock.monotonicTime();
    const request = { workspace, priority, timeLeft: deadline - now };
    const decision = admissions.get(service.name).admit(request, now);
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

  // Refuses a request whose first offers have failed because this entry VM reaches no target.
  private assertLinks(): void {
    const { request, services, state, answer } = this;
    const isFirst = state.dispatches === 0;
    if (isFirst || answer.hasBegun || !services.targetLinks.isLost(request.service.name)) return;
    throw createRefusal(state, ErrorKind.TargetUnreachable, state.reason);
  }

  private createDispatch(path: EnginePath): StreamDispatch {
    const { request, services, state, search } = this;
    state.dispatches += 1;
    search.recordDispatch();
    return new StreamDispatch(
      path,
      this.createStart(),
      state.lastEventId,
      request,
      this,
      services,
      state.dispatches > 1,
      search.paths.estimate(path.parts)?.firstEvent,
    );
  }

  private createStart(): AnswerStart {
    const { quarantine, clock } = this.services;
    return new AnswerStart(() => {
      this.state.hasLived = true;
      quarantine.recordSurvival(this.request.sharedPromptParts, clock.monotonicTime());
    });
  }

  // Returns the outcome of `first`, or of the last dispatch that has replaced it.
  private async follow(first: StreamDispatch): Promise<StreamOutcome> {
    const { state } = this;
    let dispatch = first;
    for (;;) {
      const outcome = await dispatch.outcome;
      await recordOutcome(state, dispatch, outcome);
      if (dispatch === state.current) {
        if (outcome.kind === "ended") state.successor?.drop(DispatchEnd.Superfluous);
        if (state.successor === undefined || state.successor.isDropped) return outcome;
        this.succession.promoteSuccessor();
      }
      dispatch = state.current ?? dispatch;
    }
  }

  // Ends the request after `outcome`, unless it can go on. Returns whether it has ended.
  private finish(outcome: StreamOutcome): boolean {
    const { request, services, state } = this;
    if (outcome.kind === "ended") {
      this.endAnswer();
      return true;
    }
    if (checkEnded(state)) return true;
    const { route, deadline } = request;
    const end = findAnswerEnd(
      {
        isResumable: isRetryable(route),
        executions: state.runs.size,
        maximumAttempts: route.maximumAttempts,
        deadline,
      },
      outcome,
      services.clock.monotonicTime(),
    );
    if (end === undefined) return false;
    if (this.answer.hasBegun) breakOff(state, end);
    else if (outcome.kind === "failed") this.forwardFailure(outcome);
    else throw createRefusal(state, getErrorKind(end), state.reason);
    return true;
  }

  private beginAnswer({ message }: TargetResponse): void {
    if (this.answer.hasBegun) return;
    this.answer.begin(200, responseHeaders(message.rawHeaders), { kind: "chunked" });
  }

  private endAnswer(): void {
    const { current } = this.state;
    if (current?.response === undefined) return;
    for (const { target } of current.path.parts) this.services.targetRegistry.recordSuccess(target);
    this.beginAnswer(current.response);
    this.answer.end();
  }

  private forwardFailure({
    status,
    rawHeaders,
    framing,
    body,
  }: Extract<StreamOutcome, { kind: "failed" }>): void {
    this.answer.begin(status, responseHeaders(rawHeaders), framing);
    this.answer.end(body);
  }
}
