//! The interface by which the execution of requests keeps the limits that targets name.
import type { Milliseconds } from "@lovagebend/common";

/// A process of a target. `born` is the time of its start in its entry.
export interface TargetProcess {
  readonly name: string;
  readonly born: number;
}

/// Whether a request may be sent to a target now. `retryAfter` is the time after which the
/// target may take another one.
export type LimitOutcome =
  { readonly kind: "allowed" } | { readonly kind: "denied"; readonly retryAfter: Milliseconds };

export interface RequestLimiter {
  /// Returns the outcome for a target as far as this entry VM knows it without asking.
  check(target: TargetProcess): LimitOutcome;
  /// Takes one request out of the limit of a target. Must be called before each request to it.
  acquire(target: TargetProcess): Promise<LimitOutcome>;
  /// Records the limit that an answer names, or that it names none. `sentAt` is the monotonic
  /// time at which its request was sent.
  recordAnswer(target: TargetProcess, header: string | undefined, sentAt: Milliseconds): void;
}
