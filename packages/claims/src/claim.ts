//! A claim: the row that says who may run a request, and what became of it.
import { createHash } from "node:crypto";

/// `Held` means that the holder may be running it. The three verdicts are
/// final: a key that is closed as `NotRun` never runs.
export enum ClaimState {
  Held = "held",
  Ran = "ran",
  NotRun = "not_run",
  Unknown = "unknown",
}

/// The stored row. `nonce` is new for each try, so that a holder recognises its
/// own write when the answer to it was lost.
export interface Claim {
  readonly state: ClaimState;
  readonly holder: string;
  readonly nonce: string;
  readonly requestDigest: string;
  readonly answer: unknown;
}

/// What became of a claimed request. `answer` is replayed to later callers.
export type Verdict =
  | { readonly kind: "ran"; readonly answer: unknown }
  | { readonly kind: "notRun" }
  | { readonly kind: "unknown" };

/// The row's key. Workspaces cannot meet: both parts are hashed apart.
export function claimKey(workspace: string, idempotencyKey: string): string {
  const digest = createHash("sha256").update(JSON.stringify([workspace, idempotencyKey]));
  return `claims/${digest.digest("hex")}`;
}

/// The claim with its verdict.
export function settled(claim: Claim, verdict: Verdict): Claim {
  switch (verdict.kind) {
    case "ran":
      return { ...claim, state: ClaimState.Ran, answer: verdict.answer };
    case "notRun":
      return { ...claim, state: ClaimState.NotRun };
    case "unknown":
      return { ...claim, state: ClaimState.Unknown };
  }
}
