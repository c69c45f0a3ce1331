//! Derives the state of a target from evidence that may be late, stale or missing.
import { TargetState } from "./fleet-view.js";

/// The evidence on one target. `failuresSinceAnswer` counts this entry VM's own failed calls
/// since the target last answered any entry VM. `listedState` is the target's state in the
/// platform's list: `undefined` where it is absent from the list or the list is unknown.
export interface TargetEvidence {
  readonly hasOwnLeavingNotice: boolean;
  readonly listedState: "live" | "leaving" | undefined;
  readonly failuresSinceAnswer: number;
}

const failureThreshold = 2;

/// A leaving notice, whether from the target or from the list, always takes precedence.
/// Absence from the list is ignored: the list may be empty after an outage, and a target that
/// answers is present. A target is down after repeated failed calls without an answer.
export function deriveTargetState(evidence: TargetEvidence): TargetState {
  if (evidence.hasOwnLeavingNotice || evidence.listedState === "leaving")
    return TargetState.Leaving;
  if (evidence.failuresSinceAnswer >= failureThreshold) return TargetState.Down;
  return TargetState.Serving;
}
