//! A claim: the stored row that reserves an idempotency key for one holder, which alone may
//! run the request, and that records the request's verdict.
import { createHash } from "node:crypto";

/// `Held`: the holder may be running the request. The other three states are verdicts and
/// final: no request runs under a key that was closed as `NotRun`.
export enum ClaimState {
  Held = "held",
  Ran = "ran",
  NotRun = "not_run",
  Unknown = "unknown",
}

/// The value of the stored row. `nonce` is unique to each acquisition, so that a holder
/// whose write got no response recognises its own row when it reads it back.
export interface Claim {
  readonly state: ClaimState;
  readonly holder: string;
  readonly nonce: string;
  readonly requestDigest: string;
  readonly answer: unknown;
}

/// The final outcome of a claimed request. `answer` is replayed to later requests under the
/// same key.
export type Verdict =
  | { readonly kind: "ran"; readonly answer: unknown }
  | { readonly kind: "notRun" }
  | { readonly kind: "unknown" };

/// The row's key: a hash of both parts, encoded separately, so that keys of different
/// workspaces do not collide.
export function claimKey(workspace: string, idempotencyKey: string): string {
  const digest = createHash("sha256").update(JSON.stringify([workspace, idempotencyKey]));
  return `claims/${digest.digest("hex")}`;
}

/// Returns the claim in the final state that `verdict` implies.
export function applyVerdict(claim: Claim, verdict: Verdict): Claim {
  switch (verdict.kind) {
    case "ran":
      return { ...claim, state: ClaimState.Ran, answer: verdict.answer };
    case "notRun":
      return { ...claim, state: ClaimState.NotRun };
    case "unknown":
      return { ...claim, state: ClaimState.Unknown };
  }
}
