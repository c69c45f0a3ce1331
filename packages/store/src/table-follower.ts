//! Follows one table: reads it whole, then takes its changes as they come, and reads it
//! anew after the store has forgotten its history. What is known stays in force while
//! the store is away.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import { Observable } from "rxjs";
import type { RowStore, StoredRow } from "./row-store.js";

/// `whole`: all rows of the table; a row that is not among them is gone.
/// `rows`: rows that changed. `away`: the store stopped answering.
export type TableChange =
  | { readonly kind: "whole"; readonly rows: readonly StoredRow[]; readonly version: number }
  | { readonly kind: "rows"; readonly rows: readonly StoredRow[]; readonly version: number }
  | { readonly kind: "away"; readonly reason: string };

export interface TableFollower {
  readonly store: RowStore;
  readonly table: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /// Read before each call.
  readonly pace: () => FeedPace;
  /// The version that is known by other ways, such as peers: a call need not go behind it.
  readonly reached: () => number;
}

/// How often the store is asked for changes.
export interface FeedPace {
  /// How long changes are gathered before the next call, so that several cost one call.
  /// Doubles up to `longestGather` while each call brings changes at once.
  readonly gather: Milliseconds;
  readonly longestGather: Milliseconds;
  /// How long a call may wait for a change. A connection that has gone silent shows only
  /// after it.
  readonly wait: Milliseconds;
}

// A store that refuses is asked again after a pause that doubles up to the second figure,
// which is half of the two seconds in which settings have to be in force.
const firstPause: Milliseconds = 100;
const longestPause: Milliseconds = 1_000;

// The first call after an outage: a call that waits would tell only at the next change that
// the store is back, which decides how long lapsed entries are waited for.
const firstWaitAfterOutage: Milliseconds = 100;

/// Emits changes until unsubscribed. Never errors and never completes.
export function followTable(follower: TableFollower): Observable<TableChange> {
  return new Observable((subscriber) => {
    const controller = new AbortController();
    void follow(
      follower,
      (change) => {
        subscriber.next(change);
      },
      controller.signal,
    );
    return () => {
      controller.abort();
    };
  });
}

async function follow(
  { store, table, clock, logger, pace: readPace, reached }: TableFollower,
  emit: (change: TableChange) => void,
  signal: AbortSignal,
): Promise<void> {
  let version: number | undefined;
  let pause = firstPause;
  let isAway = false;
  let gathering = readPace().gather;
  while (!signal.aborted) {
    const asked = clock.monotonic();
    const { gather, longestGather, wait } = readPace();
    if (version !== undefined) version = Math.max(version, reached());
    const outcome =
      version === undefined
        ? (await store.readTable(table)).map((range) => ({ kind: "whole" as const, ...range }))
        : await store.waitForChanges(
            table,
            version,
            isAway ? Math.min(wait, firstWaitAfterOutage) : wait,
            signal,
          );
    if (outcome.isErr) {
      if (!isAway) logger.warn("store lost", { table, version, reason: outcome.error });
      isAway = true;
      emit({ kind: "away", reason: outcome.error });
      // Half of the pause is drawn, so that entry VMs do not come back all at once.
      await clock.sleep(pause * (0.5 + Math.random() / 2), signal);
      pause = Math.min(longestPause, pause * 2);
      continue;
    }
    if (isAway) logger.info("store regained", { table, version });
    isAway = false;
    pause = firstPause;
    const change = outcome.value;
    switch (change.kind) {
      case "forgotten":
        logger.warn("history forgotten by the store", { table, version });
        version = undefined;
        continue;
      case "whole":
        emit(change);
        version = change.version;
        break;
      case "changed":
        if (change.rows.length > 0) emit({ ...change, kind: "rows" });
        version = change.version;
        break;
    }
    const isRun = clock.monotonic() - asked < gathering;
    gathering = isRun ? Math.min(longestGather, Math.max(gather, gathering * 2)) : gather;
    await clock.sleep(gathering, signal);
  }
}
