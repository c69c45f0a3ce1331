//! How an entry VM judges a target from evidence that may be late, stale or
//! missing.
import { TargetState } from "./fleet-view.js";

/// What is known of one target. `failuresSince` counts this entry VM's own failed
/// calls since the target last answered anybody. `listed` is what the platform's list
/// says: `undefined` where the target is absent from it or the list is unknown.
export interface TargetEvidence {
  readonly ownNotice: boolean;
  readonly listed: "live" | "leaving" | undefined;
  readonly failuresSince: number;
}

const failuresUntilDown = 2;

/// A leaving notice, the target's own or the list's, always counts. Absence from
/// the list never does: the list may be empty after an outage, and a target that
/// answers is there. A target is down when it does not answer.
export function judgeTarget(evidence: TargetEvidence): TargetState {
  if (evidence.ownNotice || evidence.listed === "leaving") return TargetState.Leaving;
  if (evidence.failuresSince >= failuresUntilDown) return TargetState.Down;
  return TargetState.Serving;
}
