//! Decides who answers a routed request: this entry VM itself, or a peer if it reaches no target of the
//! service.
import {
  answerBuffered,
  answerStreaming,
  RequestEnd,
  type AttemptServices,
  type CallerAnswer,
  type RoutedRequest,
  type TargetLinks,
  type WaitingRequests,
} from "@lovagebend/attempts";
import { isRetryable, RouteKind } from "@lovagebend/catalog";
import { ErrorKind, RouterError, RunState } from "@lovagebend/common";
import { RetryPurpose } from "@lovagebend/limits";
import { RequestSource } from "./open-requests.js";
import type { PeerRelay, RelayOutcome } from "./peer-relay.js";

export interface AnswerServices extends AttemptServices {
  readonly targetLinks: Pick<TargetLinks, "isLost" | "isRefused" | "check">;
  readonly waitingRequests: Pick<WaitingRequests, "add">;
  readonly relay: Pick<PeerRelay, "answer">;
}

const unreachableRetrySeconds = 0.3;

/// Sends the result of `request` to `answer`. Throws a `RouterError` if there is none.
export async function answerRequest(
  request: RoutedRequest,
  answer: CallerAnswer,
  source: RequestSource,
  services: AnswerServices,
): Promise<void> {
  const { targetLinks, relay } = services;
  const service = request.service.name;
  let refusal: RouterError | undefined;
  if (targetLinks.isLost(service)) {
    if (source === RequestSource.Peer) throw createRefusal(undefined);
    const outcome = await relay.answer(request, answer);
    if (outcome.kind === "answered") return;
    refusal = outcome.refusal;
    // Connections that are still open may serve the request where an attempt costs no time.
    if (!targetLinks.isRefused(service)) throw createRefusal(refusal);
  }
  try {
    await answerWhileReached(request, answer, services);
  } catch (error) {
    const mayRelay = source === RequestSource.Caller && refusal === undefined;
    if (!(error instanceof RouterError) || !mayRelay) throw error;
    if (answer.hasBegun || !(await prepareMove(request, error, services))) throw error;
    await move(request, answer, error, services);
  }
}

// Has a peer answer a request that has failed here with `error`.
async function move(
  request: RoutedRequest,
  answer: CallerAnswer,
  error: RouterError,
  services: AnswerServices,
): Promise<void> {
  let outcome: RelayOutcome;
  try {
    outcome = await services.relay.answer(request, answer);
  } catch (refusal) {
    // A peer that has not run the request says nothing of the run here.
    const isNotRunThere = refusal instanceof RouterError && refusal.run === RunState.NotRun;
    throw isNotRunThere && error.run !== RunState.NotRun ? error : refusal;
  }
  if (outcome.kind === "notTaken") throw error;
}

// Returns whether a request that has failed here may run at a peer because the links are lost. Spends a
// retry if it may have run here.
async function prepareMove(
  { id, route, service, progress }: RoutedRequest,
  { kind, run }: RouterError,
  { targetLinks, budget, clock, entryVmCount, logger }: AnswerServices,
): Promise<boolean> {
  if (run === RunState.NotRun) return targetLinks.isLost(service.name);
  const isFailure = kind === ErrorKind.LinksLost || kind === ErrorKind.TargetFailed;
  if (!isFailure || !isRetryable(route)) return false;
  if (progress.runs >= route.maximumAttempts) return false;
  // Connections that are reset end before the links are known to be lost.
  if (!targetLinks.isLost(service.name)) await targetLinks.check(service.name);
  if (!targetLinks.isLost(service.name)) return false;
  const now = clock.monotonicTime();
  if (budget.trySpend(service.name, entryVmCount(), now, RetryPurpose.Start)) return true;
  logger.warn("retry budget exhausted", { request: id, service: service.name });
  return false;
}

// Ends the request if it may run elsewhere and waits although this entry VM has lost its links.
async function answerWhileReached(
  request: RoutedRequest,
  answer: CallerAnswer,
  services: AnswerServices,
): Promise<void> {
  if (!isRetryable(request.route)) {
    await answerItself(request, answer, services);
    return;
  }
  const controller = new AbortController();
  const endWithRequest = (): void => {
    controller.abort(request.signal.reason);
  };
  request.signal.addEventListener("abort", endWithRequest);
  if (request.signal.aborted) endWithRequest();
  const release = services.waitingRequests.add(request.service.name, {
    isWaiting: () => !answer.hasBegun,
    getTarget: () => request.progress.currentTarget,
    end: () => {
      controller.abort(RequestEnd.LinksLost);
    },
  });
  try {
    await answerItself({ ...request, signal: controller.signal }, answer, services);
  } finally {
    release();
    request.signal.removeEventListener("abort", endWithRequest);
  }
}

function answerItself(
  request: RoutedRequest,
  answer: CallerAnswer,
  services: AttemptServices,
): Promise<void> {
  switch (request.route.kind) {
    case RouteKind.Streaming:
      return answerStreaming(request, answer, services);
    case RouteKind.Idempotent:
    case RouteKind.NonIdempotent:
      return answerBuffered(request, answer, services);
  }
}

// The settings of a peer don't decide on what those here allow.
function createRefusal(refusal: RouterError | undefined): RouterError {
  return new RouterError(
    ErrorKind.TargetUnreachable,
    RunState.NotRun,
    refusal === undefined ? "No peer was asked." : `The last peer refused: ${refusal.kind}.`,
    refusal?.retryAfterSeconds ?? unreachableRetrySeconds,
  );
}
