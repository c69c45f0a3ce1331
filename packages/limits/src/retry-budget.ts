//! A retry budget that limits retries to a small share of all requests, so that a slow target
//! does not cause a retry storm.

const retriesPerRequest = 0.1;
const maximumBalance = 20;

/// Each first attempt adds a tenth of a retry to the balance; each retry takes one from it.
/// Initially, and again after enough requests without retries, `maximumBalance` retries are
/// available.
export class RetryBudget {
  private balance = maximumBalance;

  /// Records a first attempt.
  recordFirstAttempt(): void {
    this.balance = Math.min(maximumBalance, this.balance + retriesPerRequest);
  }

  /// Returns whether a retry may be sent, and records it if so.
  trySpend(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
