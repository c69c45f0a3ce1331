//! Replicas and feeds when the store comes back from a copy and gives versions out again.
import type { Logger, Milliseconds } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import {
  followTable,
  isLater,
  StoreEra,
  TableReplica,
  type ChangeFeedResult,
  type Revision,
  type RowStore,
  type StoredRow,
  type TableChange,
  type TableSnapshot,
} from "../src/index.js";

const discard = (): undefined => undefined;
const silentLogger: Logger = { info: discard, warn: discard, error: discard };

const row = (key: string, version: number, value = key): StoredRow => ({
  key,
  version,
  value: Buffer.from(value),
});
const at = (era: number, version: number): Revision => ({ era, version });

function createReplica(rows: readonly StoredRow[], revision: Revision): TableReplica {
  const replica = new TableReplica();
  replica.applySnapshot(rows, revision);
  return replica;
}

t.test("a state of a later era is later, whatever its version", (t) => {
  t.ok(isLater(at(2, 1), at(1, 9)));
  t.notOk(isLater(at(1, 9), at(2, 1)));
  t.ok(isLater(at(2, 3), at(2, 1)));
  t.notOk(isLater(at(2, 1), at(2, 1)));
  t.end();
});

// Guards against CONFIG: the snapshot that was read after the restore lost against the rows of
// the time before, whose versions were higher.
t.test("a snapshot of a later era replaces all rows, and the missing ones are removed", (t) => {
  const replica = createReplica([row("a", 8), row("b", 9)], at(1, 9));
  const changed = replica.applySnapshot([row("a", 3, "copy")], at(2, 5));
  t.same(changed, [row("a", 3, "copy"), { key: "b", version: 5, value: undefined }]);
  t.same(replica.revision, at(2, 5));
  t.same(replica.apply([row("a", 6, "new")], at(2, 6)), [row("a", 6, "new")]);
  t.end();
});

// Guards against a peer that was cut off through the restore and brings back its rows.
t.test("rows and snapshots of an earlier era change nothing", (t) => {
  const replica = createReplica([row("a", 3)], at(2, 5));
  t.same(replica.apply([row("a", 9, "old")], at(1, 9)), []);
  t.same(replica.applySnapshot([], at(1, 9)), []);
  t.same(replica.revision, at(2, 5));
  t.end();
});

t.test("single rows of a later era wait for the whole table", (t) => {
  const replica = createReplica([row("a", 3)], at(1, 5));
  t.same(replica.apply([row("b", 6)], at(2, 6)), []);
  t.same(replica.revision, at(1, 5));
  t.end();
});

t.test("a replica of an earlier era is sent the whole table, one of a later era nothing", (t) => {
  const replica = createReplica([row("a", 3), row("b", 4)], at(2, 5));
  const transfer = replica.composeTransfer(at(1, 90));
  t.ok(transfer.isWhole);
  const cutOff = createReplica([row("a", 80), row("c", 90)], at(1, 90));
  t.same(
    cutOff.applyTransfer(transfer).map(({ key, value }) => [key, value !== undefined]),
    [
      ["a", true],
      ["b", true],
      ["c", false],
    ],
  );
  t.same(cutOff.revision, at(2, 5));
  t.same(createReplica([], at(1, 90)).composeTransfer(at(2, 5)).rows, []);
  t.end();
});

/// Answers each call when the test says so.
class ManualStore implements RowStore {
  readonly era = new StoreEra(silentLogger);
  readonly calls: string[] = [];
  private answerCall: (result: unknown) => void = discard;

  readTable(): Promise<Result<TableSnapshot, string>> {
    return this.wait("read") as Promise<Result<TableSnapshot, string>>;
  }

  waitForChanges(
    _table: string,
    after: number,
    _timeout: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<ChangeFeedResult, string>> {
    signal.addEventListener("abort", () => {
      this.answerCall(Result.err("aborted"));
    });
    return this.wait(`after ${after}`) as Promise<Result<ChangeFeedResult, string>>;
  }

  write(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(1));
  }

  remove(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(1));
  }

  async answer(result: Result<TableSnapshot | ChangeFeedResult, string>): Promise<void> {
    this.answerCall(result);
    await settle();
  }

  private wait(call: string): Promise<unknown> {
    this.calls.push(call);
    return new Promise((resolve) => {
      this.answerCall = resolve;
    });
  }
}

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

function startFeed(t: { teardown: (end: () => void) => void }, knownRevision: () => Revision) {
  const store = new ManualStore();
  const changes: TableChange[] = [];
  const subscription = followTable({
    store,
    table: "servers",
    clock: {
      monotonicTime: () => 0,
      wallClockTime: () => 0,
      sleep: settle,
    },
    logger: silentLogger,
    timing: () => ({ minimumBatchingDelay: 1, maximumBatchingDelay: 1, longPollTimeout: 10_000 }),
    knownRevision,
  }).subscribe((change) => {
    changes.push(change);
  });
  t.teardown(() => {
    subscription.unsubscribe();
  });
  return { store, changes };
}

// Guards against CONFIG: a feed that waits for a version of the time before the restore.
t.test("a poll is ended by an era that another answer names, and the table is read", async (t) => {
  const { store, changes } = startFeed(t, () => at(0, -1));
  store.era.observeAnswer(1);
  await store.answer(Result.ok({ rows: [row("a", 80)], ...at(1, 89) }));
  await settle();
  store.era.observeAnswer(2);
  await settle();
  t.same(store.calls, ["read", "after 89", "read"]);
  await store.answer(Result.ok({ rows: [row("a", 3)], ...at(2, 5) }));
  await settle();
  t.same(store.calls.slice(3), ["after 5"], "not after the version of the earlier era");
  t.same(
    changes.map(({ kind }) => kind),
    ["whole", "whole"],
    "the restore alone is no outage",
  );
});

t.test("a feed goes on from the table of the later era that a peer has sent", async (t) => {
  let known = at(0, -1);
  const { store } = startFeed(t, () => known);
  store.era.observeAnswer(1);
  await store.answer(Result.ok({ rows: [], ...at(1, 89) }));
  await settle();
  known = at(2, 7);
  store.era.observePeer(2, "peer");
  await settle();
  t.same(store.calls, ["read", "after 89", "after 7"]);
});

t.test("the era never decreases, and only a rise is a change", (t) => {
  const warnings: string[] = [];
  const era = new StoreEra({ ...silentLogger, warn: (event) => warnings.push(event) });
  const changes: number[] = [];
  era.changes.subscribe(({ era: current }) => changes.push(current));
  t.equal(era.observeAnswer(undefined), 0, "a store that names none is in the first era");
  t.equal(era.observeAnswer(3), 3);
  t.equal(era.observeAnswer(undefined), 3, "no header: an answer of the known era");
  t.equal(era.observeAnswer(undefined), 3);
  t.equal(era.observeAnswer(2), undefined, "late");
  era.observePeer(2, "peer");
  era.observePeer(5, "peer");
  t.equal(era.observeAnswer(5), 5);
  t.same(changes, [3, 5]);
  t.same(warnings, ["store names no era", "late answer of the store discarded"]);
  t.end();
});
