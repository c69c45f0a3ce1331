//! The end of an exchange with a target. It comes at the deadline at the latest, whatever the
//! connection and the parser of the answer report.
import type { Milliseconds } from "@lovagebend/common";

// Node's timers may fire up to this much early.
const timerPrecision: Milliseconds = 1;

/// Ends an exchange once: at its deadline, or when it is cancelled. It has a timer of its own,
/// since a signal of `AbortSignal.timeout` to which only `AbortSignal.any` refers is collected as
/// garbage together with its timer.
export class ExchangeEnd {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly cancel = (): void => {
    this.end("cancelled by this entry VM");
  };

  /// The deadline is `timeLeft` from now. `cancellation` ends the exchange earlier if it aborts.
  constructor(
    timeLeft: Milliseconds,
    private readonly cancellation: AbortSignal,
  ) {
    const delay = Math.max(0, Math.ceil(timeLeft)) + timerPrecision;
    this.timer = setTimeout(() => {
      this.end("no answer before the deadline");
    }, delay);
    cancellation.addEventListener("abort", this.cancel);
    if (cancellation.aborted) this.cancel();
  }

  /// Calls back at the end with its reason, at once if it has come.
  onEnd(callback: (reason: string) => void): void {
    const { signal } = this.controller;
    const report = (): void => {
      callback(String(signal.reason));
    };
    if (signal.aborted) report();
    else signal.addEventListener("abort", report);
  }

  /// Must be called once nothing of the exchange is awaited any more.
  release(): void {
    clearTimeout(this.timer);
    this.cancellation.removeEventListener("abort", this.cancel);
  }

  private end(reason: string): void {
    this.release();
    this.controller.abort(reason);
  }
}
