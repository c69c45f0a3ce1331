//! Notices when this process runs late: paused, short of processor time, or busy with one long
//! piece of work. Callers wait for such a time, and what was known before it may be out of date.
import type { Logger, Milliseconds } from "@lovagebend/common";

// Below the time in which a caller that has left must be noticed.
const loggedDelay: Milliseconds = 200;

export class DelayMonitor {
  constructor(
    private readonly logger: Logger,
    private readonly recordDelay: (delay: Milliseconds) => void,
  ) {}

  /// Records that work which was due at `due` begins at `now`, both of the monotonic clock.
  recordTurn(due: Milliseconds, now: Milliseconds): void {
    const delay = Math.max(0, now - due);
    this.recordDelay(delay);
    if (delay >= loggedDelay) this.logger.warn("process delayed", { delay: Math.round(delay) });
  }
}
