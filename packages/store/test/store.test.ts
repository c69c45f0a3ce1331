//! The change feed of a table through outages and lost history, and the merging of replicas.
import type { Clock, Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import {
  followTable,
  initialEra,
  StoreEra,
  TableReplica,
  type ChangeFeedResult,
  type TableSnapshot,
  type Revision,
  type RowStore,
  type StoredRow,
  type TableChange,
} from "../src/index.js";

const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function row(key: string, version: number, value = key): StoredRow {
  return { key, version, value: Buffer.from(value) };
}

// The state of a table at `version` of the first era.
function at(version: number): Revision {
  return { era: initialEra, version };
}

// Returns the scripted results in order; later calls never settle.
class ScriptedStore implements RowStore {
  readonly era = new StoreEra(silentLogger);
  readonly requests: string[] = [];
  constructor(private readonly script: Result<TableSnapshot | ChangeFeedResult, string>[]) {}
  readTable(): Promise<Result<TableSnapshot, string>> {
    this.requests.push("read");
    return this.nextResult() as Promise<Result<TableSnapshot, string>>;
  }
  readonly timeouts: number[] = [];
  waitForChanges(
    _: string,
    after: number,
    timeout: number,
  ): Promise<Result<ChangeFeedResult, string>> {
    this.requests.push(`after ${after}`);
    this.timeouts.push(timeout);
    return this.nextResult() as Promise<Result<ChangeFeedResult, string>>;
  }
  write(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(1));
  }
  remove(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(1));
  }
  private nextResult(): Promise<unknown> {
    const answer = this.script.shift();
    return answer === undefined ? new Promise(() => undefined) : Promise.resolve(answer);
  }
}

// Its times are no whole numbers, like those of the monotonic clock.
function createRunningClock(): Clock {
  let now = 0.3;
  return {
    monotonicTime: () => (now += 7.77),
    wallClockTime: () => now,
    sleep: () => Promise.resolve(),
  };
}

function createFakeClock(): Clock & { readonly sleeps: number[] } {
  const sleeps: number[] = [];
  return {
    sleeps,
    monotonicTime: () => 0,
    wallClockTime: () => 0,
    sleep: (duration) => {
      sleeps.push(duration);
      return Promise.resolve();
    },
  };
}

async function collectChanges(
  script: Result<TableSnapshot | ChangeFeedResult, string>[],
  changeCount: number,
  knownRevision = () => at(-1),
) {
  const store = new ScriptedStore(script);
  const clock = createFakeClock();
  const received: TableChange[] = [];
  await new Promise<void>((resolve) => {
    const subscription = followTable({
      store,
      table: "servers",
      clock,
      logger: silentLogger,
      timing: () => ({
        minimumBatchingDelay: 100,
        maximumBatchingDelay: 400,
        longPollTimeout: 10_000,
      }),
      knownRevision,
    }).subscribe((change) => {
      received.push(change);
      if (received.length === changeCount) setImmediate(resolve);
    });
    t.teardown(() => {
      subscription.unsubscribe();
    });
  });
  return { received, requests: store.requests, timeouts: store.timeouts, sleeps: clock.sleeps };
}

t.test("the feed reads a snapshot, then polls for changes after its version", async (t) => {
  const { received, requests } = await collectChanges(
    [
      Result.ok({ rows: [row("a", 3)], version: 5, era: 0 }),
      Result.ok({ kind: "changed", rows: [row("a", 7)], version: 7, era: 0 }),
    ],
    2,
  );
  t.same(
    received.map(({ kind }) => kind),
    ["whole", "rows"],
  );
  t.same(requests, ["read", "after 5", "after 7"]);
});

t.test("the feed reads a new snapshot when the store no longer keeps the history", async (t) => {
  const { received, requests } = await collectChanges(
    [
      Result.ok({ rows: [], version: 5, era: 0 }),
      Result.ok({ kind: "forgotten" }),
      Result.ok({ rows: [row("a", 9)], version: 9, era: 0 }),
    ],
    2,
  );
  t.same(
    received.map(({ kind }) => kind),
    ["whole", "whole"],
  );
  t.same(requests, ["read", "after 5", "read", "after 9"]);
});

t.test("the feed reports an outage, then resumes from its last version", async (t) => {
  const { received, requests } = await collectChanges(
    [
      Result.ok({ rows: [], version: 5, era: 0 }),
      Result.err("status 503"),
      Result.err("status 503"),
      Result.ok({ kind: "changed", rows: [row("a", 6)], version: 6, era: 0 }),
    ],
    5,
  );
  t.same(
    received.map(({ kind }) => kind),
    ["whole", "away", "away", "back", "rows"],
  );
  t.same(requests, ["read", "after 5", "after 5", "after 5", "after 6"]);
});

// Guards against a feed whose subscribers learn of the store's return only from a changed row.
t.test("the feed reports the store's return even if no row has changed", async (t) => {
  const { received, requests } = await collectChanges(
    [
      Result.ok({ rows: [row("a", 3)], version: 5, era: 0 }),
      Result.err("status 503"),
      Result.ok({ kind: "changed", rows: [], version: 5, era: 0 }),
    ],
    3,
  );
  t.same(
    received.map(({ kind }) => kind),
    ["whole", "away", "back"],
  );
  t.same(requests, ["read", "after 5", "after 5", "after 5"]);
});

t.test("the first poll after an outage has a short timeout", async (t) => {
  const { timeouts } = await collectChanges(
    [
      Result.ok({ rows: [], version: 5, era: 0 }),
      Result.err("status 503"),
      Result.ok({ kind: "changed", rows: [row("a", 6)], version: 6, era: 0 }),
    ],
    3,
  );
  t.equal(timeouts[0], 10_000);
  t.ok((timeouts[1] ?? Infinity) < 1_000, "a store without changes answers within a second");
  t.equal(timeouts[2], 10_000);
});

t.test("the feed resumes from the version received from peers", async (t) => {
  const { requests } = await collectChanges(
    [
      Result.ok({ rows: [], version: 5, era: 0 }),
      Result.ok({ kind: "changed", rows: [row("a", 9)], version: 9, era: 0 }),
    ],
    2,
    () => at(8),
  );
  t.same(requests, ["read", "after 8", "after 9"]);
});

t.test("the batching delay doubles up to its maximum during a burst of changes", async (t) => {
  const change = (version: number): Result<ChangeFeedResult, string> =>
    Result.ok({ kind: "changed", rows: [row("a", version)], version, era: 0 });
  const { sleeps } = await collectChanges(
    [Result.ok({ rows: [], version: 1, era: 0 }), change(2), change(3), change(4)],
    4,
  );
  t.same(sleeps.slice(0, 4), [200, 400, 400, 400]);
});

// Guards against changes that arrive late because short polls without changes were taken for a burst.
// Guards against polls that the store answers at once, so that they are repeated several times a second.
t.test("the timeouts of polls are whole milliseconds", async (t) => {
  const change = (version: number): Result<ChangeFeedResult, string> =>
    Result.ok({ kind: "changed", rows: [row("a", version)], version, era: 0 });
  const store = new ScriptedStore([
    Result.ok({ rows: [], version: 1, era: 0 }),
    change(2),
    change(3),
    change(4),
  ]);
  await new Promise<void>((resolve) => {
    const subscription = followTable({
      store,
      table: "servers",
      clock: createRunningClock(),
      logger: silentLogger,
      timing: () => ({
        minimumBatchingDelay: 100,
        maximumBatchingDelay: 400,
        longPollTimeout: 10_000,
      }),
      knownRevision: () => at(-1),
    }).subscribe(() => {
      if (store.timeouts.length === 3) resolve();
    });
    t.teardown(() => {
      subscription.unsubscribe();
    });
  });
  t.ok(store.timeouts.every(Number.isInteger), store.timeouts.join(" "));
  t.ok(store.timeouts.every((timeout) => timeout > 9_000));
});

t.test("polls without changes do not lengthen the delay between polls", async (t) => {
  const { sleeps } = await collectChanges(
    [
      Result.ok({ rows: [], version: 1, era: 0 }),
      Result.ok({ kind: "changed", rows: [], version: 1, era: 0 }),
      Result.ok({ kind: "changed", rows: [], version: 1, era: 0 }),
      Result.ok({ kind: "changed", rows: [row("a", 2)], version: 2, era: 0 }),
    ],
    2,
  );
  t.same(sleeps.slice(0, 4), [200, 100, 100, 200]);
});

t.test("a replica keeps the latest version of each row from any source", (t) => {
  const replica = new TableReplica();
  t.equal(replica.revision.version, -1, "the version is -1 before the first update");
  replica.apply([row("a", 4), row("b", 2)], at(4));
  t.same(replica.apply([row("a", 3, "old")], at(3)), [], "an earlier version changes nothing");
  t.same(
    replica.composeTransfer(at(2)).rows.map(({ key }) => key),
    ["a"],
  );
  t.same(replica.revision, at(4));
  t.end();
});

t.test("a row missing from a snapshot is removed, and the removal is passed to peers", (t) => {
  const replica = new TableReplica();
  replica.apply([row("a", 1), row("b", 2)], at(2));
  const changed = replica.applySnapshot([row("b", 2)], at(6));
  t.same(changed, [{ key: "a", version: 6, value: undefined }]);
  t.same(replica.composeTransfer(at(2)), {
    rows: [{ key: "a", version: 6, value: undefined }, row("b", 2)],
    revision: at(6),
    isWhole: true,
  });
  t.same(replica.applySnapshot([row("b", 2)], at(7)), [], "the removal is reported once");
  t.end();
});

t.test("a snapshot older than a row from a peer does not remove that row", (t) => {
  const replica = new TableReplica();
  replica.apply([row("a", 9)], at(9));
  t.same(replica.applySnapshot([], at(5)), []);
  t.end();
});
