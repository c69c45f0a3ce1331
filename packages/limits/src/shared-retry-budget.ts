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

/// A loan that an entry VM should ask for.
export interface RetryNeed {
  readonly service: string;
  readonly purpose: RetryPurpose;
  readonly retries: number;
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
// The share of the allowance that is available to answers that have not begun, without open answers
// and with many.
const maximumStartShare = 0.7;
const minimumStartShare = 0.3;
// An answer that waits for a retry asks several times within this time.
const claimDuration: Milliseconds = 500;

// A lender keeps half of its remaining retries.
const lendableShare = 0.5;
// An entry VM borrows when fewer retries remain than this number, or than this share of its
// allowance if that is less: with many entry VMs the whole allowance is a few retries.
const borrowThreshold = 4;
const borrowThresholdShare = 0.25;
// A service that has asked for no retry for this time needs no loan.
const needDuration: Milliseconds = 1_000;
// A stream that waits for a retry asks once within this time.
const waitInterval: Milliseconds = 100;

interface ServiceState {
  readonly requests: Milliseconds[];
  /// Without those spent on loans, which the lender counts.
  readonly retries: Milliseconds[];
  readonly loans: LoanBook;
  /// The number of open answers that have begun.
  begun: number;
  /// The times at which an answer that has begun was denied a retry.
  readonly resumesDenied: Milliseconds[];
  askedAt: Milliseconds;
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

  /// Records that an answer of `service` has begun, which may need a retry to go on. The returned
  /// function is called once, when the answer ends.
  recordBegun(service: string): () => void {
    const state = this.getState(service);
    state.begun += 1;
    return () => {
      state.begun -= 1;
    };
  }

  /// Returns whether a retry may be sent to `service`, and records it if so. `entryVms` is the
  /// number of entry VMs that share the slack. Answers that have begun have the first claim: the
  /// others leave one retry for each of those that are open, and get none while one of those waits.
  trySpend(service: string, entryVms: number, now: Milliseconds, purpose: RetryPurpose): boolean {
    const state = this.getState(service, now);
    const { spent, allowance } = this.computeUsage(service, entryVms, now);
    state.askedAt = now;
    const isWithheld = purpose === RetryPurpose.Start && isResumeWaiting(state, now);
    // Loans are spent first, because they expire.
    const isBorrowed = !isWithheld && state.loans.trySpend(now);
    const isOwn =
      !isWithheld && !isBorrowed && spent + 1 <= getSpendable(purpose, allowance, state.begun);
    const isGranted = isBorrowed || isOwn;
    if (isOwn) state.retries.push(now);
    if (!isGranted && purpose === RetryPurpose.Resume) state.resumesDenied.push(now);
    this.onDecision({
      service,
      purpose,
      isGranted,
      spent: isOwn ? spent + 1 : spent,
      allowance,
    });
    return isGranted;
  }

  /// Returns the loans that this entry VM should ask for: for the answers that wait for a retry, and
  /// for the services that have few retries left.
  findNeeds(entryVms: number, now: Milliseconds): RetryNeed[] {
    return [...this.services.keys()].flatMap((service): RetryNeed[] => {
      const { loans, resumesDenied, askedAt } = this.getState(service, now);
      if (now - askedAt > needDuration) return [];
      const borrowed = loans.countBorrowed(now);
      const waiting = resumesDenied.filter((time) => now - time < waitInterval).length - borrowed;
      if (waiting > 0) return [{ service, purpose: RetryPurpose.Resume, retries: waiting }];
      const { spent, allowance } = this.computeUsage(service, entryVms, now);
      const threshold = Math.min(borrowThreshold, allowance * borrowThresholdShare);
      const remaining = allowance * maximumStartShare - spent + borrowed;
      if (spent === 0 || remaining >= threshold) return [];
      return [{ service, purpose: RetryPurpose.Start, retries: Math.ceil(threshold) }];
    });
  }

  /// Lends at most `wanted` of the remaining retries to another entry VM, which needs them for
  /// `purpose`. Returns the number of retries that the borrower may send.
  lend(
    service: string,
    entryVms: number,
    now: Milliseconds,
    wanted = Infinity,
    purpose = RetryPurpose.Resume,
  ): number {
    const state = this.getState(service, now);
    if (isResumeWaiting(state, now)) return 0;
    const { spent, allowance } = this.computeUsage(service, entryVms, now);
    const remaining = Math.floor(getSpendable(purpose, allowance, state.begun) - spent);
    const retries = Math.min(wanted, roundLoan(purpose, remaining * lendableShare));
    if (retries <= 0) return 0;
    state.loans.lend(retries, now);
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
  private getState(service: string, now: Milliseconds = -Infinity): ServiceState {
    const existing = this.services.get(service);
    if (existing !== undefined) {
      removeBefore(existing.requests, now - this.options.window);
      removeBefore(existing.retries, now - this.options.window);
      removeBefore(existing.resumesDenied, now - claimDuration);
      return existing;
    }
    const initial = {
      requests: [],
      retries: [],
      loans: new LoanBook(this.options.window),
      begun: 0,
      resumesDenied: [],
      askedAt: -Infinity,
    };
    this.services.set(service, initial);
    return initial;
  }
}

function isResumeWaiting({ resumesDenied }: ServiceState, now: Milliseconds): boolean {
  return resumesDenied.some((time) => now - time < claimDuration);
}

// The last retry is lent to an answer that waits for it, and kept from others.
function roundLoan(purpose: RetryPurpose, retries: number): number {
  switch (purpose) {
    case RetryPurpose.Resume:
      return Math.ceil(retries);
    case RetryPurpose.Start:
      return Math.floor(retries);
  }
}

// The part of `allowance` that may be spent on `purpose` with `begun` open answers that have begun.
function getSpendable(purpose: RetryPurpose, allowance: number, begun: number): number {
  switch (purpose) {
    case RetryPurpose.Resume:
      return allowance;
    case RetryPurpose.Start:
      return Math.min(
        allowance * maximumStartShare,
        Math.max(allowance * minimumStartShare, allowance - begun),
      );
  }
}

function removeBefore(times: Milliseconds[], windowStart: Milliseconds): void {
  const firstRecent = times.findIndex((time) => time >= windowStart);
  times.splice(0, firstRecent === -1 ? times.length : firstRecent);
}
