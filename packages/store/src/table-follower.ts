//! A change feed for one table: reads a snapshot, then long-polls for changes, and reads a
//! new snapshot when the store no longer keeps the history that the feed needs, or has come
//! back from a copy. While the store is unavailable the rows emitted so far stay valid.
import {
  runDetached,
  withAnySignal,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { merge, NEVER, Observable } from "rxjs";
import { isLater, type Revision } from "./revision.js";
import type { ChangeFeedResult, RowStore, StoredRow } from "./row-store.js";

/// `whole`: all rows of the table; any other row was removed. It replaces a later state if
/// `replacesLater`, since that one cannot be the store's. `rows`: the rows that changed since the
/// last snapshot of the same era. `away`: a call to the store failed. `back`: the first call after
/// that succeeded; emitted before its rows, and also if it returned none.
export type TableChange =
  | ({
      readonly kind: "whole";
      readonly rows: readonly StoredRow[];
      readonly replacesLater: boolean;
    } & Revision)
  | ({ readonly kind: "rows"; readonly rows: readonly StoredRow[] } & Revision)
  | { readonly kind: "away"; readonly reason: string }
  | { readonly kind: "back" };

export interface FollowTableOptions {
  readonly store: RowStore;
  readonly table: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /// Evaluated before each call to the store.
  readonly timing: () => FeedTiming;
  /// The state of the table already received from another source, such as peers. The feed
  /// asks only for changes after it.
  readonly knownRevision: () => Revision;
  /// When it emits, a poll that waits for a change is repeated over another connection.
  readonly pollRepeats?: Observable<unknown>;
  /// How long the store need not be asked, because other entry VMs pass its changes on. Evaluated
  /// before each poll; has no effect before the first snapshot and during an outage.
  readonly pause?: () => Milliseconds;
  /// Called after each answer of the store has been emitted. All changes that the store had
  /// acknowledged at `time`, of the monotonic clock, have been emitted.
  readonly recordCurrent?: (time: Milliseconds) => void;
}

/// How often the store is polled for changes.
export interface FeedTiming {
  /// The delay between two calls, during which changes accumulate so that one call returns
  /// several. It doubles up to `maximumBatchingDelay` while changes arrive so fast that each
  /// call returns within the delay.
  readonly minimumBatchingDelay: Milliseconds;
  readonly maximumBatchingDelay: Milliseconds;
  /// How long a call may wait for a change. A connection that no longer delivers data is
  /// detected only after this time.
  readonly longPollTimeout: Milliseconds;
}

// Failed calls are retried with exponential backoff. The maximum delay is half of the two
// seconds within which new settings have to be in force.
const initialRetryDelay: Milliseconds = 100;
const maximumRetryDelay: Milliseconds = 1_000;

// The shortest timeout of a poll, and that of the first poll after an outage. A longer one would
// show only at the next change that the store is available again, and that time decides how long
// entries that lapsed during the outage may still return.
const shortPollTimeout: Milliseconds = 100;

// A pause may end early, for example when an entry VM starts to follow the store closely.
const maximumPause: Milliseconds = 500;

// A read may lag behind what peers know. A state that is still later after this time is not one
// of the store.
const maximumReadLag: Milliseconds = 4_000;

/// Emits changes until unsubscribed. The observable never errors and never completes.
export function followTable(options: FollowTableOptions): Observable<TableChange> {
  return new Observable((subscriber) => {
    const controller = new AbortController();
    const following = followUntilAborted(
      options,
      (change) => {
        subscriber.next(change);
      },
      controller.signal,
    );
    runDetached(options.logger, `feed of ${options.table}`, following);
    return () => {
      controller.abort();
    };
  });
}

async function followUntilAborted(
  options: FollowTableOptions,
  emit: (change: TableChange) => void,
  signal: AbortSignal,
): Promise<void> {
  const { store, table, clock, logger, timing: readTiming, knownRevision } = options;
  let reached: Revision | undefined;
  let retryDelay = initialRetryDelay;
  let isUnavailable = false;
  let behindSince: Milliseconds | undefined;
  let currentAt: Milliseconds = Infinity;
  let batchingDelay = readTiming().minimumBatchingDelay;
  let interruption = new AbortController();
  const interrupts = merge(options.pollRepeats ?? NEVER, store.era.changes).subscribe(() => {
    interruption.abort();
  });
  const untilInterrupted = <Value>(task: (either: AbortSignal) => Promise<Value>): Promise<Value> =>
    withAnySignal([signal, interruption.signal], task);
  const sleep = (duration: Milliseconds): Promise<void> =>
    untilInterrupted((either) => clock.sleep(duration, either));
  const poll = (version: number, timeout: Milliseconds) =>
    untilInterrupted((either) => store.waitForChanges(table, version, timeout, either));
  while (!signal.aborted) {
    if (interruption.signal.aborted) interruption = new AbortController();
    const requestedAt = clock.monotonicTime();
    const { minimumBatchingDelay, maximumBatchingDelay, longPollTimeout } = readTiming();
    const known = knownRevision();
    if (reached !== undefined && isLater(known, reached)) reached = known;
    if (reached !== undefined && reached.era < store.era.current) reached = undefined;
    const pause = reached === undefined || isUnavailable ? 0 : (options.pause?.() ?? 0);
    if (pause > 0) {
      await sleep(Math.min(Math.ceil(pause), maximumPause));
      continue;
    }
    // A poll that returned rows early, but may have been read late, confirms the state before it
    // only. The next one is shorter, so that the state is confirmed at the usual intervals.
    const remaining = isUnavailable ? 0 : currentAt + longPollTimeout - requestedAt;
    // In whole milliseconds: a store answers a poll with any other timeout at once.
    const pollTimeout = Math.min(
      longPollTimeout,
      Math.max(Math.round(remaining), shortPollTimeout),
    );
    const outcome =
      reached === undefined
        ? (await store.readTable(table)).map((snapshot) => ({
            kind: "whole" as const,
            ...snapshot,
          }))
        : await poll(reached.version, pollTimeout);
    if (reached !== undefined && interruption.signal.aborted) continue;
    if (outcome.isErr) {
      if (!isUnavailable) logger.warn("store lost", { table, ...reached, reason: outcome.error });
      isUnavailable = true;
      emit({ kind: "away", reason: outcome.error });
      // Half of the delay is jitter, so that entry VMs do not retry all at once.
      await clock.sleep(retryDelay * (0.5 + Math.random() / 2), signal);
      retryDelay = Math.min(maximumRetryDelay, retryDelay * 2);
      continue;
    }
    if (isUnavailable) {
      logger.info("store regained", { table, ...reached });
      emit({ kind: "back" });
    }
    isUnavailable = false;
    retryDelay = initialRetryDelay;
    const change = outcome.value;
    switch (change.kind) {
      case "forgotten":
        logger.warn("history forgotten by the store", { table, ...reached });
        reached = undefined;
        continue;
      case "whole":
        if (isLater(known, change)) behindSince ??= requestedAt;
        else behindSince = undefined;
        emit({
          ...change,
          replacesLater: behindSince !== undefined && requestedAt - behindSince > maximumReadLag,
        });
        reached = { era: change.era, version: change.version };
        break;
      case "changed":
        behindSince = undefined;
        if (change.rows.length > 0) emit({ ...change, kind: "rows" });
        reached = { era: change.era, version: change.version };
        break;
    }
    currentAt =
      requestedAt + getWaitedTime(change, clock.monotonicTime() - requestedAt, pollTimeout);
    options.recordCurrent?.(currentAt);
    const isBurst = !isEmptyPoll(change) && clock.monotonicTime() - requestedAt < batchingDelay;
    batchingDelay = isBurst
      ? Math.min(maximumBatchingDelay, Math.max(minimumBatchingDelay, batchingDelay * 2))
      : minimumBatchingDelay;
    await sleep(batchingDelay);
  }
  interrupts.unsubscribe();
}

type StoreAnswer = ChangeFeedResult | { readonly kind: "whole" };

function isEmptyPoll(answer: StoreAnswer): boolean {
  return answer.kind === "changed" && answer.rows.length === 0;
}

// How long the store had waited for changes when it composed an answer, at least. It answers a poll
// without changes at the end of its timeout. The answer itself may have been read much later.
function getWaitedTime(
  answer: StoreAnswer,
  elapsed: Milliseconds,
  pollTimeout: Milliseconds,
): Milliseconds {
  return isEmptyPoll(answer) ? Math.min(elapsed, pollTimeout) : 0;
}
