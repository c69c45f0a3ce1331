//! A budget that keeps retries a small part of all requests, so that a slow
//! target cannot start a retry storm.

const sharePerRequest = 0.1;
const largestBalance = 20;

/// Each first try earns a tenth of a retry; each retry spends one. At rest
/// `largestBalance` retries are at hand.
export class RetryBudget {
  private balance = largestBalance;

  /// Counts a first try.
  earn(): void {
    this.balance = Math.min(largestBalance, this.balance + sharePerRequest);
  }

  /// Whether a retry may be made; if so, it is counted.
  spend(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
