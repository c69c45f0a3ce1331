//! Runs a request that must not run twice: claims its idempotency key, sends the request
//! once, records the verdict under the key, and only then returns the answer.
import { ErrorKind, RouterError, RunState } from "@lovagebend/common";
import { Result } from "true-myth";
import { ClaimState, type Claim, type Verdict } from "./claim.js";
import type { ClaimStore, ClaimRequest } from "./claim-store.js";

/// `isFirstAttempt` is the caller's assertion that it sent nothing under this key before and
/// will send nothing else under it until this request is answered.
export interface AtMostOnceRequest extends ClaimRequest {
  readonly isFirstAttempt: boolean;
}

/// The answer of the target. `isReplayed` is true if it comes from an earlier request under
/// the same key; `isRecorded` is false if the store has not confirmed the verdict yet.
export interface AtMostOnceAnswer {
  readonly answer: unknown;
  readonly isReplayed: boolean;
  readonly isRecorded: boolean;
}

/// Runs a request at most once under its key, whichever entry VMs receive it. `dispatch`
/// sends the request and returns its verdict: `notRun` only if the request cannot have
/// arrived, `unknown` if it may have. It is called at most once, and only by the holder of
/// the claim. An error with `RunState.NotRun` guarantees that nothing sent under the key
/// before that error has run or will run.
export async function runAtMostOnce(
  claims: ClaimStore,
  request: AtMostOnceRequest,
  dispatch: () => Promise<Verdict>,
): Promise<Result<AtMostOnceAnswer, RouterError>> {
  const outcome = await claims.claim(request);
  switch (outcome.kind) {
    case "granted":
      return dispatchAndRecord(claims, request.key, outcome.claim, dispatch);
    case "settled":
      return replayVerdict(outcome.claim);
    case "held":
      return refuse(ErrorKind.ClaimHeld, RunState.Unknown);
    case "mismatch":
      return refuse(ErrorKind.KeyReused, RunState.NotRun);
    case "unavailable":
      // Without the store, an earlier attempt under the key cannot be ruled out unless the
      // caller asserts that this is the first one.
      return refuse(
        ErrorKind.StoreUnavailable,
        request.isFirstAttempt ? RunState.NotRun : RunState.Unknown,
      );
  }
}

const retryAfterSeconds = 1;

async function dispatchAndRecord(
  claims: ClaimStore,
  key: string,
  claim: Claim,
  dispatch: () => Promise<Verdict>,
): Promise<Result<AtMostOnceAnswer, RouterError>> {
  const verdict = await dispatch();
  const isRecorded = await claims.recordVerdict(key, claim, verdict);
  switch (verdict.kind) {
    case "ran":
      return Result.ok({ answer: verdict.answer, isReplayed: false, isRecorded });
    case "notRun":
      return refuse(ErrorKind.TargetUnreachable, RunState.NotRun);
    case "unknown":
      return refuse(ErrorKind.OutcomeUnknown, RunState.Unknown);
  }
}

function replayVerdict(claim: Claim): Result<AtMostOnceAnswer, RouterError> {
  switch (claim.state) {
    case ClaimState.Ran:
      return Result.ok({ answer: claim.answer, isReplayed: true, isRecorded: true });
    case ClaimState.NotRun:
      return refuse(ErrorKind.KeyClosed, RunState.NotRun);
    case ClaimState.Held:
    case ClaimState.Unknown:
      return refuse(ErrorKind.OutcomeUnknown, RunState.Unknown);
  }
}

function refuse(kind: ErrorKind, run: RunState): Result<AtMostOnceAnswer, RouterError> {
  const isPermanent = kind === ErrorKind.KeyReused || kind === ErrorKind.KeyClosed;
  return Result.err(new RouterError(kind, run, "", isPermanent ? undefined : retryAfterSeconds));
}
