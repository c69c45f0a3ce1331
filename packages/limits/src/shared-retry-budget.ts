//! This entry VM's share of a distributed retry budget. In any time window all entry VMs
//! together may send a service retries up to a ratio of its requests plus a fixed slack. Each
//! entry VM may send the ratio of its own requests plus an equal share of the slack, and
//! borrows from the share of another entry VM when it runs short.
import type { Milliseconds } from "@lovagebend/common";
import { LoanBook } from "./loan-book.js";

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
/// if it was granted and with those lent, and `allowance` the number that this entry VM may send
/// within it, without those borrowed.
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

interface ServiceState {
  readonly requests: Milliseconds[];
  /// Without those spent on loans, which the lender counts.
  readonly retries: Milliseconds[];
  readonly loans: LoanBook;
}

export class SharedRetryBudget {
  /// Called for each retry that is asked for.
  onDecision: (decision: RetryDecision) => void = () => undefined;
  private readonly services = new Map<string, ServiceState>();

  constructor(private readonly options: SharedRetryBudgetOptions) {}

  /// Records a request to `service`.
  recordRequest(service: string, now: Milliseconds): void {
    this.getState(service, now).requests.push(now);
  }

  /// Returns whether a retry may be sent to `service`, and records it if so. `entryVms` is the
  /// number of entry VMs that share the slack.
  trySpend(service: string, entryVms: number, now: Milliseconds, purpose: RetryPurpose): boolean {
    const { loans, retries } = this.getState(service, now);
    const { spent, allowance } = this.computeUsage(service, entryVms, now);
    const share = purpose === RetryPurpose.Start ? beforeAnswerShare : 1;
    const isOwn = spent + 1 <= allowance * share;
    const isGranted = isOwn || loans.trySpend(now);
    if (isOwn) retries.push(now);
    this.onDecision({
      service,
      purpose,
      isGranted,
      spent: isOwn ? spent + 1 : spent,
      allowance,
    });
    return isGranted;
  }

  /// Returns the services that have few retries left, for which this entry VM should borrow.
  findServicesRunningShort(entryVms: number, now: Milliseconds): string[] {
    return [...this.services.keys()].filter((service) => {
      const { loans } = this.getState(service, now);
      const { spent, allowance } = this.computeUsage(service, entryVms, now);
      return (
        spent > 0 &&
        allowance * beforeAnswerShare - spent + loans.countBorrowed(now) <
          Math.min(borrowThreshold, allowance * borrowThresholdShare)
      );
    });
  }

  /// Lends a share of the remaining retries to another entry VM. Returns the number of retries
  /// that the borrower may send.
  lend(service: string, entryVms: number, now: Milliseconds): number {
    const { spent, allowance } = this.computeUsage(service, entryVms, now);
    const retries = Math.floor((allowance - spent) * lendableShare);
    if (retries <= 0) return 0;
    this.getState(service, now).loans.lend(retries, now);
    return retries;
  }

  /// Records a loan from another entry VM. `requestedAt` is the time at which this entry VM
  /// requested it, so that the loan expires at the borrower before it expires at the lender.
  borrow(service: string, retries: number, requestedAt: Milliseconds): void {
    if (retries > 0) this.getState(service, requestedAt).loans.borrow(retries, requestedAt);
  }

  private computeUsage(
    service: string,
    entryVms: number,
    now: Milliseconds,
  ): { readonly spent: number; readonly allowance: number } {
    const { requests, retries, loans } = this.getState(service, now);
    const slack = (this.options.slack * spendableSlackShare) / Math.max(1, entryVms);
    return {
      spent: retries.length + loans.countLent(now),
      allowance: requests.length * this.options.ratio + slack,
    };
  }

  // The state of `service`, without what lies before the window.
  private getState(service: string, now: Milliseconds): ServiceState {
    const existing = this.services.get(service);
    if (existing !== undefined) {
      removeBefore(existing.requests, now - this.options.window);
      removeBefore(existing.retries, now - this.options.window);
      return existing;
    }
    const initial = { requests: [], retries: [], loans: new LoanBook(this.options.window) };
    this.services.set(service, initial);
    return initial;
  }
}

function removeBefore(times: Milliseconds[], windowStart: Milliseconds): void {
  const firstRecent = times.findIndex((time) => time >= windowStart);
  times.splice(0, firstRecent === -1 ? times.length : firstRecent);
}
