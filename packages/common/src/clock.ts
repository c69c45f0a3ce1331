//! The clock interface and its implementation by the operating system. Leases and
//! deadlines depend on monotonic time only; wall-clock time is for logs and history.
import { setTimeout as delay } from "node:timers/promises";

/// A duration or a point in time, in milliseconds.
export type Milliseconds = number;

/// A source of time. `monotonicTime` never decreases, and it keeps advancing while a signal
/// stops the process. `sleep` resolves early, without an error, when `signal` aborts.
export interface Clock {
  monotonicTime(): Milliseconds;
  wallClockTime(): Milliseconds;
  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/// The operating system's clock.
export const systemClock: Clock = {
  monotonicTime: () => performance.now(),
  wallClockTime: () => Date.now(),
  sleep: async (duration, signal) => {
    try {
      await delay(duration, undefined, signal === undefined ? {} : { signal });
    } catch {
      // An aborted sleep resolves early; the caller checks its signal.
    }
  },
};
