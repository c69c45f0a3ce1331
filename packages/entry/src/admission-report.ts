//! Reports what admission and the limit by processor refuse: counters of the decisions, and at most
//! one line in the log a second for each service, and for the processor, while they limit.
import type { Logger, Milliseconds } from "@lovagebend/common";
import type { DecidedAdmission, EngineAdmission, FairAdmissions } from "@lovagebend/limits";
import type { EntryMetrics } from "./metrics.js";
import type { ProcessorLimit, ProcessorRefusal } from "./processor-limit.js";

const lineInterval: Milliseconds = 1_000;

interface ReportState {
  isLimited: boolean;
  since: Milliseconds;
  loggedAt: Milliseconds;
  /// The refusals that the log does not name yet, by priority or reason.
  readonly refused: Map<string, number>;
}

export class AdmissionReport {
  private readonly services = new Map<string, ReportState>();
  private readonly processor = createState();

  constructor(
    private readonly metrics: Pick<EntryMetrics, "recordAdmission" | "recordProcessorRefusal">,
    private readonly logger: Logger,
  ) {}

  recordAdmission(service: string, { priority, isAdmitted }: DecidedAdmission): void {
    this.metrics.recordAdmission(service, priority, isAdmitted);
    if (!isAdmitted) count(this.getService(service).refused, String(priority));
  }

  recordProcessorRefusal(reason: ProcessorRefusal): void {
    this.metrics.recordProcessorRefusal(reason);
    count(this.processor.refused, reason);
  }

  /// Logs which limits are in force, which have begun and which have ended.
  review(admissions: FairAdmissions, processorLimit: ProcessorLimit, now: Milliseconds): void {
    for (const [service, admission] of admissions.list()) {
      admission.review(now);
      this.reviewService(service, admission, now);
    }
    const { limit, since } = processorLimit;
    this.log(this.processor, "entry VM", since, now, () => ({
      limit: round(limit),
      inProgress: processorLimit.inProgress,
      lateness: round(processorLimit.lateness),
    }));
  }

  private reviewService(service: string, admission: EngineAdmission, now: Milliseconds): void {
    const { overload, currentLimit } = admission;
    this.log(this.getService(service), "admission", overload?.since, now, () => ({
      service,
      limit: round(currentLimit),
      cause: overload?.cause,
      demand: Object.fromEntries(
        [...admission.getDemand(now)].map(([priority, rate]) => [priority, round(rate)]),
      ),
    }));
  }

  private log(
    state: ReportState,
    subject: string,
    since: Milliseconds | undefined,
    now: Milliseconds,
    describe: () => Record<string, unknown>,
  ): void {
    if (since === undefined) {
      if (state.isLimited)
        this.logger.info(`${subject} not limited`, {
          ...describe(),
          lasted: Math.round(now - state.since),
          refused: takeCounts(state.refused),
        });
      state.isLimited = false;
      return;
    }
    if (!state.isLimited) state.since = since;
    state.isLimited = true;
    if (now - state.loggedAt < lineInterval) return;
    state.loggedAt = now;
    this.logger.warn(`${subject} limited`, {
      ...describe(),
      age: Math.round(now - since),
      refused: takeCounts(state.refused),
    });
  }

  private getService(service: string): ReportState {
    const existing = this.services.get(service);
    if (existing !== undefined) return existing;
    const created = createState();
    this.services.set(service, created);
    return created;
  }
}

function createState(): ReportState {
  return { isLimited: false, since: 0, loggedAt: -Infinity, refused: new Map() };
}

function count(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function takeCounts(counts: Map<string, number>): Record<string, number> {
  const taken = Object.fromEntries(counts);
  counts.clear();
  return taken;
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value * 10) / 10;
}
