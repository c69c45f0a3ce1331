//! The whole course of a request that must not run twice: claim it, send it once,
//! record the verdict, and only then tell the caller.
import { ErrorKind, RouterError, RunState } from "@lovagebend/common";
import { Result } from "true-myth";
import { ClaimState, type Claim, type Verdict } from "./claim.js";
import type { ClaimLedger, ClaimRequest } from "./claim-ledger.js";

/// `isFirst` is the caller's word that nothing was sent under this key before, and that
/// nothing will be until this request is answered.
export interface OnceRequest extends ClaimRequest {
  readonly isFirst: boolean;
}

/// The answer of the target. `replayed` is true when it was recorded earlier; `recorded`
/// is false while the store has not confirmed the verdict.
export interface OnceAnswer {
  readonly answer: unknown;
  readonly replayed: boolean;
  readonly recorded: boolean;
}

/// Runs a request at most once under its key, whichever entry VMs it reaches.
/// `dispatch` sends it and says what became of it: `notRun` only when it cannot have
/// arrived, `unknown` whenever it may have. It is called at most once, and only by the
/// holder of the claim. A refusal with `RunState.NotRun` promises that nothing sent
/// under the key before it has run or will run.
export async function runAtMostOnce(
  ledger: ClaimLedger,
  request: OnceRequest,
  dispatch: () => Promise<Verdict>,
): Promise<Result<OnceAnswer, RouterError>> {
  const outcome = await ledger.claim(request);
  switch (outcome.kind) {
    case "granted":
      return dispatchAndSettle(ledger, request.key, outcome.claim, dispatch);
    case "settled":
      return replay(outcome.claim);
    case "held":
      return refuse(ErrorKind.ClaimHeld, RunState.Unknown);
    case "mismatch":
      return refuse(ErrorKind.KeyReused, RunState.NotRun);
    case "unavailable":
      // Without the store an earlier try under the key cannot be ruled out, unless the
      // caller says that there was none.
      return refuse(
        ErrorKind.StoreUnavailable,
        request.isFirst ? RunState.NotRun : RunState.Unknown,
      );
  }
}

const hintSeconds = 1;

async function dispatchAndSettle(
  ledger: ClaimLedger,
  key: string,
  claim: Claim,
  dispatch: () => Promise<Verdict>,
): Promise<Result<OnceAnswer, RouterError>> {
  const verdict = await dispatch();
  const recorded = await ledger.settle(key, claim, verdict);
  switch (verdict.kind) {
    case "ran":
      return Result.ok({ answer: verdict.answer, replayed: false, recorded });
    case "notRun":
      return refuse(ErrorKind.TargetUnreachable, RunState.NotRun);
    case "unknown":
      return refuse(ErrorKind.OutcomeUnknown, RunState.Unknown);
  }
}

function replay(claim: Claim): Result<OnceAnswer, RouterError> {
  switch (claim.state) {
    case ClaimState.Ran:
      return Result.ok({ answer: claim.answer, replayed: true, recorded: true });
    case ClaimState.NotRun:
      return refuse(ErrorKind.KeyClosed, RunState.NotRun);
    case ClaimState.Held:
    case ClaimState.Unknown:
      return refuse(ErrorKind.OutcomeUnknown, RunState.Unknown);
  }
}

function refuse(kind: ErrorKind, run: RunState): Result<OnceAnswer, RouterError> {
  const isLasting = kind === ErrorKind.KeyReused || kind === ErrorKind.KeyClosed;
  return Result.err(new RouterError(kind, run, "", isLasting ? undefined : hintSeconds));
}
