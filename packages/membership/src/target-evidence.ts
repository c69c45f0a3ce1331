//! How an entry VM judges a target from evidence that may be late, stale or
//! missing.
import type { Milliseconds } from "@lovagebend/common";
import { TargetState } from "./fleet-view.js";

/// What is known of one target. `lastAnswerAge` is the age of the last sign of
/// life, from this entry VM or told by another; `failuresSince` counts this
/// entry VM's own failed probes since then. `listed` is what the platform's list
/// says: `undefined` where the target is absent from it or the list is unknown.
export interface TargetEvidence {
  readonly ownNotice: boolean;
  readonly listed: "live" | "leaving" | undefined;
  readonly lastAnswerAge: Milliseconds;
  readonly failuresSince: number;
}

const freshness: Milliseconds = 3_000;
const failuresUntilDown = 2;

/// Whether a sign of life is recent enough to overrule the platform's list.
export function isEvidenceFresh(age: Milliseconds): boolean {
  return age <= freshness;
}

/// A leaving notice, the target's own or the list's, always counts. Absence from
/// the list never does: the list may be empty after an outage, and a target that
/// answers is there. A target is down when it does not answer.
export function judgeTarget(evidence: TargetEvidence): TargetState {
  if (evidence.ownNotice || evidence.listed === "leaving") return TargetState.Leaving;
  if (evidence.failuresSince >= failuresUntilDown) return TargetState.Down;
  return TargetState.Serving;
}
