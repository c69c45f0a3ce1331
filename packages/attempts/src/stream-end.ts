//! The one decision on how a stream goes on when no dispatch of it is at work. An answer that the
//! caller is reading ends only for a reason that proves that no more of it can come. Everything else,
//! such as a missing path, refusals or an exhausted retry budget, passes, and the answer waits.
import type { Milliseconds } from "@lovagebend/common";
import type { StreamOutcome } from "./stream-outcome.js";

/// A proof that no more of an answer can come.
export enum AnswerEnd {
  DeadlinePassed = "deadline passed",
  /// The route does not allow the request to run again, and its run is lost.
  NotResumable = "not resumable",
  /// As many engines have run the request as its route allows.
  AttemptsUsed = "attempts used",
  /// A part of the prompt is kept away from engines, because it may end them.
  PromptQuarantined = "prompt quarantined",
  /// The entry VM has to exit.
  VmStopping = "VM stopping",
}

/// What is left of a stream after its last dispatch.
export interface StreamState {
  readonly isResumable: boolean;
  /// The number of engines that have run the request.
  readonly executions: number;
  readonly maximumAttempts: number;
  readonly deadline: Milliseconds;
}

/// Returns why the stream cannot go on after `outcome`, or `undefined` if it can.
export function findAnswerEnd(
  { isResumable, executions, maximumAttempts, deadline }: StreamState,
  outcome: StreamOutcome,
  now: Milliseconds,
): AnswerEnd | undefined {
  switch (outcome.kind) {
    case "ended":
      return undefined;
    case "notRun":
      return now >= deadline ? AnswerEnd.DeadlinePassed : undefined;
    case "broken":
    case "failed":
      if (now >= deadline) return AnswerEnd.DeadlinePassed;
      if (!isResumable) return AnswerEnd.NotResumable;
      return executions >= maximumAttempts ? AnswerEnd.AttemptsUsed : undefined;
  }
}
