//! The loans of one service's retry budget at one entry VM. A loan can be spent for a short time
//! only, and the lender counts it as its own spending for a window after that: however late the
//! borrower spends it, it falls in no window with a second spending of the same retries.
import type { Milliseconds } from "@lovagebend/common";

// As a part of the window. Long enough for the call to the lender and for streams that wait.
const lifetimeShare = 0.1;

interface BorrowedRetries {
  readonly expiresAt: Milliseconds;
  remaining: number;
}

interface LentRetries {
  readonly countsUntil: Milliseconds;
  readonly retries: number;
}

export class LoanBook {
  private borrowed: BorrowedRetries[] = [];
  private lent: LentRetries[] = [];

  constructor(private readonly window: Milliseconds) {}

  /// Records a loan to another entry VM.
  lend(retries: number, now: Milliseconds): void {
    const countsUntil = now + this.lifetime + this.window;
    this.lent.push({ countsUntil, retries });
  }

  /// Records a loan from another entry VM, which was requested at `requestedAt`.
  borrow(retries: number, requestedAt: Milliseconds): void {
    this.borrowed.push({ expiresAt: requestedAt + this.lifetime, remaining: retries });
  }

  /// The number of lent retries that count as spent.
  countLent(now: Milliseconds): number {
    this.lent = this.lent.filter(({ countsUntil }) => countsUntil >= now);
    return this.lent.reduce((sum, { retries }) => sum + retries, 0);
  }

  /// The number of borrowed retries that may still be spent.
  countBorrowed(now: Milliseconds): number {
    this.borrowed = this.borrowed.filter(
      ({ expiresAt, remaining }) => expiresAt >= now && remaining > 0,
    );
    return this.borrowed.reduce((sum, { remaining }) => sum + remaining, 0);
  }

  /// Spends a borrowed retry, the one that expires first. Returns whether there was one.
  trySpend(now: Milliseconds): boolean {
    if (this.countBorrowed(now) === 0) return false;
    const [first] = this.borrowed.sort((left, right) => left.expiresAt - right.expiresAt);
    if (first === undefined) return false;
    first.remaining -= 1;
    return true;
  }

  private get lifetime(): Milliseconds {
    return this.window * lifetimeShare;
  }
}
