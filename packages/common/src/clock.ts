//! Time as the router sees it. Decisions about leases and deadlines use the
//! monotonic reading only; the wall reading goes into logs and history.
import { setTimeout as delay } from "node:timers/promises";

/// A duration or a reading, in milliseconds.
export type Milliseconds = number;

/// A source of time. `monotonic` never goes back and keeps counting while the
/// process is stopped by a signal. `sleep` resolves early when `signal` aborts.
export interface Clock {
  monotonic(): Milliseconds;
  wall(): Milliseconds;
  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/// The clock of the machine.
export const systemClock: Clock = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
  sleep: async (duration, signal) => {
    try {
      await delay(duration, undefined, signal === undefined ? {} : { signal });
    } catch {
      // An aborted sleep ends early; the caller looks at its signal.
    }
  },
};
