//! Reports the decisions of the retry budget: a counter for each service and purpose, and a line in
//! the log while a budget denies retries.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { RetryDecision } from "@lovagebend/limits";
import type { EntryMetrics } from "./metrics.js";

const lineInterval: Milliseconds = 1_000;

interface Denials {
  readonly loggedAt: Milliseconds;
  /// The number that the log does not name yet.
  readonly unlogged: number;
}

export class RetryReport {
  private readonly denials = new Map<string, Denials>();

  constructor(
    private readonly metrics: Pick<EntryMetrics, "recordRetry">,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Counts `decision`. A denied retry is logged, at most once a second for each service and
  /// purpose, with the number of those denied since the last line.
  record({ service, purpose, isGranted, spent, allowance }: RetryDecision): void {
    this.metrics.recordRetry(service, purpose, isGranted);
    if (isGranted) return;
    const now = this.clock.monotonicTime();
    const key = `${purpose} ${service}`;
    const { loggedAt, unlogged } = this.denials.get(key) ?? { loggedAt: -Infinity, unlogged: 0 };
    const denied = unlogged + 1;
    if (now - loggedAt < lineInterval) {
      this.denials.set(key, { loggedAt, unlogged: denied });
      return;
    }
    this.denials.set(key, { loggedAt: now, unlogged: 0 });
    this.logger.warn("retries denied", {
      service,
      purpose,
      denied,
      spent,
      allowance: Math.floor(allowance),
    });
  }
}
