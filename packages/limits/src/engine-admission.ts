//! What admission to the targets of one service decides, whichever order it uses.
import type { Milliseconds } from "@lovagebend/common";
import type { Overload } from "./capacity-limit.js";

export type AdmissionDecision =
  { readonly kind: "admitted" } | { readonly kind: "refused"; readonly retryAfter: Milliseconds };

/// A request before it is offered. A smaller `priority` is more urgent. `timeLeft` is the time that
/// its caller has left.
export interface FairAdmissionRequest {
  readonly workspace: string;
  readonly priority: number;
  readonly timeLeft?: Milliseconds;
}

/// A decision with the priority that it was made for, for reports.
export interface DecidedAdmission {
  readonly priority: number;
  readonly isAdmitted: boolean;
}

/// The admission of one entry VM to the targets of one service. Times are of the monotonic clock.
export interface EngineAdmission {
  /// Called for each decision.
  onDecision: (decision: DecidedAdmission) => void;
  /// The requests a second that are admitted in all; `undefined` while all are.
  readonly currentLimit: number | undefined;
  /// Why and since when not all requests are admitted.
  readonly overload: Overload | undefined;
  /// The requests a second that each priority asks for, as far as they are told apart.
  getDemand(now: Milliseconds): ReadonlyMap<number, number>;
  recordAccepted(now: Milliseconds): void;
  recordRefused(now: Milliseconds): void;
  /// Records that an offer of `dispatchedAt` has waited too long for its first event.
  recordLateStart(dispatchedAt: Milliseconds, now: Milliseconds): void;
  /// Adjusts the limit, so that it also ends when no more requests come.
  review(now: Milliseconds): void;
  /// Decides on a request before it is offered to any target. A workspace alone stands for a request
  /// of the most urgent priority.
  admit(request: FairAdmissionRequest | string, now: Milliseconds): AdmissionDecision;
}
