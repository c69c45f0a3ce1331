//! How a streamed answer ends without being whole: as a refusal before it has begun, or broken off
//! while the caller reads it.
import { ErrorKind, RouterError, RunState } from "@lovagebend/common";
import type { AnswerState } from "./answer-state.js";
import { createEndError, isEndedByStop } from "./request-end.js";
import { roundTime } from "./stream-log.js";
import { AnswerEnd } from "./stream-end.js";

const refusedRetryAfterSeconds = 0.3;

/// Returns the error for a request whose answer has not begun.
export function createRefusal(
  { mayHaveRun }: AnswerState,
  kind: ErrorKind,
  reason: string,
  retryAfterSeconds = refusedRetryAfterSeconds,
): RouterError {
  if (!mayHaveRun) return new RouterError(kind, RunState.NotRun, reason, retryAfterSeconds);
  const isNotRunKind =
    kind === ErrorKind.NoPath ||
    kind === ErrorKind.TargetUnreachable ||
    kind === ErrorKind.TargetsLimited ||
    kind === ErrorKind.DeadlineUnreachable ||
    kind === ErrorKind.PromptQuarantined;
  return new RouterError(isNotRunKind ? ErrorKind.TargetFailed : kind, RunState.Unknown, reason);
}

/// Ends an answer that the caller is reading.
export function breakOff(state: AnswerState, end: AnswerEnd): void {
  const { id, deadline } = state.request;
  const { clock, logger } = state.services;
  const kind = getErrorKind(end);
  logger.warn("stream broken off", {
    request: id,
    kind,
    end,
    reason: state.reason,
    executions: state.runs.size,
    dispatches: state.dispatches,
    silence: roundTime(clock.monotonicTime() - state.lastEventAt),
    timeLeft: roundTime(deadline - clock.monotonicTime()),
  });
  state.answer.abort(`${kind}: ${end}: ${state.reason}`);
}

/// Returns whether the request has ended. Breaks an answer off that has begun; throws if none has
/// begun or if the caller has left.
export function checkEnded(state: AnswerState): boolean {
  const { signal } = state.request;
  if (!signal.aborted) return false;
  if (!state.answer.hasBegun || !isEndedByStop(signal))
    throw createEndError(signal, state.mayHaveRun);
  breakOff(state, AnswerEnd.VmStopping);
  return true;
}

export function getErrorKind(end: AnswerEnd): ErrorKind {
  switch (end) {
    case AnswerEnd.DeadlinePassed:
      return ErrorKind.DeadlineExceeded;
    case AnswerEnd.NotResumable:
    case AnswerEnd.AttemptsUsed:
      return ErrorKind.TargetFailed;
    case AnswerEnd.PromptQuarantined:
      return ErrorKind.PromptQuarantined;
    case AnswerEnd.VmStopping:
      return ErrorKind.StoppedUnanswered;
  }
}
