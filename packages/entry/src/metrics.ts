//! The Prometheus metrics of an entry VM: counters of answers, refusals, aborted streams and
//! requests without an answer, a latency histogram, and gauges that other modules add.
import type { PartFault, PauseCause, StreamMetrics } from "@lovagebend/attempts";
import type { ExchangeReport } from "@lovagebend/forwarding";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

// In seconds, from a plain call within one data centre to the longest answers.
const latencyBuckets = [0.005, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10, 20];
// In seconds, from the usual lateness of a timer to a process that was paused.
const delayBuckets = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

// In seconds, around the allowed pauses of streams and the times at which callers leave.
const pauseBuckets = [0.05, 0.1, 0.15, 0.2, 0.25, 0.35, 0.5, 0.75, 1, 2, 5, 10];
// In seconds; negative where the first event came sooner than estimated.
const estimateErrorBuckets = [-2, -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2];

export class EntryMetrics implements StreamMetrics {
  readonly registry = new Registry();
  private readonly answers = this.createCounter("answers_total", "Answers to callers", [
    "route_kind",
    "status",
  ]);
  private readonly refusals = this.createCounter("refusals_total", "Answers of the router's own", [
    "kind",
    "run",
  ]);
  private readonly abortedStreams = this.createCounter(
    "streams_broken_off_total",
    "Streams not ended whole",
    [],
  );
  private readonly unansweredRequests = this.createCounter(
    "requests_unanswered_total",
    "Requests whose connection ended before their answer was complete",
    ["stage", "closed_by"],
  );
  private readonly retries = this.createCounter(
    "retries_total",
    "Retries asked of the retry budget, of streams that have begun (resume) and others (first)",
    ["service", "purpose", "decision"],
  );
  private readonly exchanges = this.createCounter(
    "target_exchanges_total",
    "Exchanges with targets, by kind of connection and by how they ended",
    ["service", "connection", "result"],
  );
  private readonly relayed = this.createCounter(
    "relayed_requests_total",
    "Requests given to peers because no target of the service was reached, by what became of them",
    ["service", "result"],
  );
  private readonly admissions = this.createCounter(
    "admissions_total",
    "Decisions on requests to targets that may be full, by priority",
    ["service", "priority", "decision"],
  );
  private readonly processorRefusals = this.createCounter(
    "processor_refusals_total",
    "Requests refused because the processor has too much to do",
    ["reason"],
  );
  private readonly callerLimits = this.createCounter(
    "callers_limited_total",
    "What the limits on callers have refused, closed or delayed",
    ["kind"],
  );
  private readonly eraChanges = this.createCounter(
    "store_era_changes_total",
    "Times the store came back from a copy",
    [],
  );
  private readonly layerOrders = this.createCounter(
    "layer_orders_total",
    "Orders to engines to load layers, by outcome",
    ["outcome"],
  );
  private readonly placementTakeovers = this.createCounter(
    "placement_takeovers_total",
    "Times that this entry VM took the placement role, by reason",
    ["reason"],
  );
  private readonly latency = new Histogram({
    name: "lovagebend_answer_seconds",
    help: "Time to the first byte of an answer",
    labelNames: ["route_kind"],
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  private readonly delays = new Histogram({
    name: "lovagebend_process_delay_seconds",
    help: "How late periodic work of the process began",
    buckets: delayBuckets,
    registers: [this.registry],
  });

  private readonly firstEvents = new Histogram({
    name: "lovagebend_stream_first_event_seconds",
    help: "Time to the first event of a stream",
    buckets: latencyBuckets,
    registers: [this.registry],
  });
  private readonly longestPauses = new Histogram({
    name: "lovagebend_stream_longest_pause_seconds",
    help: "Longest time between two events of a stream, by whether it was moved before or in it",
    labelNames: ["cause"],
    buckets: pauseBuckets,
    registers: [this.registry],
  });
  private readonly estimateErrors = new Histogram({
    name: "lovagebend_stream_estimate_error_seconds",
    help: "Time to the first event of a dispatch, less its estimate",
    buckets: estimateErrorBuckets,
    registers: [this.registry],
  });

  private readonly linkTransfers = this.createCounter(
    "link_transfers_total",
    "Prompts that were to cross a link between data centres",
    ["decision"],
  );

  private readonly partFaults = this.createCounter(
    "path_part_faults_total",
    "Parts of paths that had changed between choice and dispatch",
    ["fault"],
  );

  recordPartFault(fault: PartFault): void {
    this.partFaults.inc({ fault });
  }

  recordLinkTransfer(isAllowed: boolean): void {
    this.linkTransfers.inc({ decision: isAllowed ? "allowed" : "denied" });
  }

  recordFirstEvent(seconds: number): void {
    this.firstEvents.observe(seconds);
  }

  recordLongestPause(seconds: number, cause: PauseCause): void {
    this.longestPauses.observe({ cause }, seconds);
  }

  recordEstimateError(seconds: number): void {
    this.estimateErrors.observe(seconds);
  }

  /// Counts an answer whose first byte was sent `seconds` after the request arrived.
  recordAnswer(kind: string, status: number, seconds: number): void {
    this.answers.inc({ route_kind: kind, status });
    this.latency.observe({ route_kind: kind }, seconds);
  }

  recordRefusal(kind: string, run: string): void {
    this.refusals.inc({ kind, run });
  }

  recordAbortedStream(): void {
    this.abortedStreams.inc();
  }

  recordUnansweredRequest(stage: string, closedBy: string): void {
    this.unansweredRequests.inc({ stage, closed_by: closedBy });
  }

  recordRetry(service: string, purpose: string, isGranted: boolean): void {
    this.retries.inc({ service, purpose, decision: isGranted ? "granted" : "denied" });
  }

  recordExchange({ service, connection, result }: ExchangeReport): void {
    this.exchanges.inc({ service, connection, result });
  }

  recordRelay(service: string, result: string): void {
    this.relayed.inc({ service, result });
  }

  recordAdmission(service: string, priority: number, isAdmitted: boolean): void {
    this.admissions.inc({ service, priority, decision: isAdmitted ? "admitted" : "refused" });
  }

  recordProcessorRefusal(reason: string): void {
    this.processorRefusals.inc({ reason });
  }

  recordCallerLimit(kind: string): void {
    this.callerLimits.inc({ kind });
  }

  recordEraChange(): void {
    this.eraChanges.inc();
  }

  recordLayerOrder(outcome: string): void {
    this.layerOrders.inc({ outcome });
  }

  recordPlacementTakeover(reason: string): void {
    this.placementTakeovers.inc({ reason });
  }

  /// Counts periodic work that began `seconds` late.
  recordDelay(seconds: number): void {
    this.delays.observe(seconds);
  }

  /// Adds a gauge whose value is read whenever the metrics are collected.
  addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `lovagebend_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /// Adds a gauge with a value for each service that `read` names.
  addServiceGauge(name: string, help: string, read: () => ReadonlyMap<string, number>): void {
    new Gauge({
      name: `lovagebend_${name}`,
      help,
      labelNames: ["service"],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [service, value] of read()) this.set({ service }, value);
      },
    });
  }

  private createCounter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name: `lovagebend_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }
}
