//! This entry VM's share of a distributed retry budget. In any time window all entry VMs
//! together may send a service retries up to a ratio of its requests plus a fixed slack. Each
//! entry VM may send the ratio of its own requests plus an equal share of the slack, and
//! borrows from the share of another entry VM when it runs short.
import type { Milliseconds } from "@lovagebend/common";

/// `ratio` is the number of retries per request and `slack` the number of further retries
/// that a service may receive from all entry VMs within `window`.
export interface SharedRetryBudgetOptions {
  readonly ratio: number;
  readonly window: Milliseconds;
  readonly slack: number;
}

/// What a retry is for: an answer that has not begun (`Start`), or one that the caller is
/// already reading and that would otherwise be interrupted (`Resume`).
export enum RetryPurpose {
  Start = "first",
  Resume = "resume",
}

/// Whether a retry was granted. `spent` is the number of retries within the window, with this one
/// if it was granted, and `allowance` the number that this entry VM may send within it.
export interface RetryDecision {
  readonly service: string;
  readonly purpose: RetryPurpose;
  readonly isGranted: boolean;
  readonly spent: number;
  readonly allowance: number;
}

// Part of the slack stays unused, because an entry VM loses its count of sent retries in a
// restart and its number of live entry VMs may be stale.
const spendableSlackShare = 0.75;
// The share of the allowance that is available to answers that have not begun.
const beforeAnswerShare = 0.7;

// A lender keeps half of its remaining retries.
const lendableShare = 0.5;
// An entry VM borrows when fewer retries remain than this number, or than this share of its
// allowance if that is less: with many entry VMs the whole allowance is a few retries.
const borrowThreshold = 4;
const borrowThresholdShare = 0.25;

interface Loan {
  readonly startedAt: Milliseconds;
  /// Negative on the side of the lender.
  readonly retries: number;
}

export class SharedRetryBudget {
  /// Called for each retry that is asked for.
  onDecision: (decision: RetryDecision) => void = () => undefined;
  private readonly requestTimes = new Map<string, Milliseconds[]>();
  private readonly retryTimes = new Map<string, Milliseconds[]>();
  private readonly loans = new Map<string, Loan[]>();

  constructor(private readonly options: SharedRetryBudgetOptions) {}

  /// Records a request to `service`.
  recordRequest(service: string, now: Milliseconds): void {
    pruneBefore(this.requestTimes, service, now - this.options.window).push(now);
  }

  /// Returns whether a retry may be sent to `service`, and records it if so. `entryVms` is the
  /// number of entry VMs that share the slack.
  trySpend(service: string, entryVms: number, now: Milliseconds, purpose: RetryPurpose): boolean {
    const { spent, allowance } = this.computeUsage(service, entryVms, now);
    const share = purpose === RetryPurpose.Start ? beforeAnswerShare : 1;
    const isGranted = spent + 1 <= allowance * share;
    if (isGranted) pruneBefore(this.retryTimes, service, now - this.options.window).push(now);
    this.onDecision({
      service,
      purpose,
      isGranted,
      spent: isGranted ? spent + 1 : spent,
      allowance,
    });
    return isGranted;
  }

  /// Returns the services that have few retries left, for which this entry VM should borrow.
  findServicesRunningShort(entryVms: number, now: Milliseconds): string[] {
    return [...this.retryTimes.keys()].filter((service) => {
      const { spent, allowance } = this.computeUsage(service, entryVms, now);
      return (
        spent > 0 &&
        allowance * beforeAnswerShare - spent <
          Math.min(borrowThreshold, allowance * borrowThresholdShare)
      );
    });
  }

  /// Lends a share of the remaining retries to another entry VM for one window. Returns the
  /// number of retries that the borrower may send.
  lend(service: string, entryVms: number, now: Milliseconds): number {
    const { spent, allowance } = this.computeUsage(service, entryVms, now);
    const retries = Math.floor((allowance - spent) * lendableShare);
    if (retries <= 0) return 0;
    this.recordLoan(service, { startedAt: now, retries: -retries });
    return retries;
  }

  /// Records a loan from another entry VM. `requestedAt` is the time at which this entry VM
  /// requested it, so that the loan expires at the borrower before it expires at the lender.
  borrow(service: string, retries: number, requestedAt: Milliseconds): void {
    if (retries > 0) this.recordLoan(service, { startedAt: requestedAt, retries });
  }

  private computeUsage(
    service: string,
    entryVms: number,
    now: Milliseconds,
  ): { readonly spent: number; readonly allowance: number } {
    const windowStart = now - this.options.window;
    const requestCount = pruneBefore(this.requestTimes, service, windowStart).length;
    const slack = (this.options.slack * spendableSlackShare) / Math.max(1, entryVms);
    const netLoans = (this.loans.get(service) ?? [])
      .filter(({ startedAt }) => startedAt >= windowStart)
      .reduce((sum, { retries }) => sum + retries, 0);
    return {
      spent: pruneBefore(this.retryTimes, service, windowStart).length,
      allowance: requestCount * this.options.ratio + slack + netLoans,
    };
  }

  private recordLoan(service: string, loan: Loan): void {
    const windowStart = loan.startedAt - this.options.window;
    const currentLoans = (this.loans.get(service) ?? []).filter(
      ({ startedAt }) => startedAt >= windowStart,
    );
    this.loans.set(service, [...currentLoans, loan]);
  }
}

// Removes the times before `windowStart` and returns the array that remains in `times`.
function pruneBefore(
  times: Map<string, Milliseconds[]>,
  service: string,
  windowStart: Milliseconds,
): Milliseconds[] {
  const recentTimes = times.get(service) ?? [];
  times.set(service, recentTimes);
  const firstRecent = recentTimes.findIndex((time) => time >= windowStart);
  recentTimes.splice(0, firstRecent === -1 ? recentTimes.length : firstRecent);
  return recentTimes;
}
