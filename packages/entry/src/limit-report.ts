//! Reports what the limits on callers have ended: a counter for each kind, and a line in the log.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { EntryMetrics } from "./metrics.js";

/// What a limit has ended or put off.
export enum LimitKind {
  /// A request was refused, for which there was no memory.
  NoMemory = "no memory",
  /// A head or a body that was arriving was given up for others.
  ArrivingDropped = "arriving bytes given up",
  /// A connection was closed whose caller did not read its answer.
  UnreadDropped = "unread answer given up",
  /// A request was refused, because too many were in progress.
  TooManyRequests = "too many requests",
  /// A connection without a request was closed for a new one.
  ConnectionReplaced = "idle connection closed",
  /// A new connection was closed.
  ConnectionRefused = "too many connections",
  /// The rest of a refused request is read later.
  DiscardDelayed = "discarded bytes delayed",
  /// A body that comes in many small chunks is read later.
  SmallChunksDelayed = "small chunks delayed",
}

const lineInterval: Milliseconds = 1_000;

interface Occurrences {
  readonly loggedAt: Milliseconds;
  /// The number that the log does not name yet.
  readonly unlogged: number;
}

export class LimitReport {
  private readonly occurrences = new Map<LimitKind, Occurrences>();

  /// `readState` returns what the log line adds.
  constructor(
    private readonly metrics: Pick<EntryMetrics, "recordCallerLimit">,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly readState: () => Readonly<Record<string, number>>,
  ) {}

  /// Counts an event. It is logged at most once a second for each kind, with the number of those since
  /// the last line.
  record(kind: LimitKind): void {
    this.metrics.recordCallerLimit(kind);
    const now = this.clock.monotonicTime();
    const last = this.occurrences.get(kind) ?? { loggedAt: -Infinity, unlogged: 0 };
    const count = last.unlogged + 1;
    if (now - last.loggedAt < lineInterval) {
      this.occurrences.set(kind, { loggedAt: last.loggedAt, unlogged: count });
      return;
    }
    this.occurrences.set(kind, { loggedAt: now, unlogged: 0 });
    this.logger.warn("callers limited", { kind, count, ...this.readState() });
  }
}
