//! Following a table through outages and forgotten history, and telling peers of it.
import type { Clock, Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import {
  followTable,
  TableReplica,
  type FeedOutcome,
  type RangeOutcome,
  type RowStore,
  type StoredRow,
  type TableChange,
} from "../src/index.js";

const quiet: Logger = { info: () => undefined, warn: () => undefined, error: () => undefined };

function row(key: string, version: number, value = key): StoredRow {
  return { key, version, value: Buffer.from(value) };
}

// A store that answers from a script and then keeps silent.
class ScriptedStore implements RowStore {
  readonly asked: string[] = [];
  constructor(private readonly script: Result<RangeOutcome | FeedOutcome, string>[]) {}
  readTable(): Promise<Result<RangeOutcome, string>> {
    this.asked.push("read");
    return this.next() as Promise<Result<RangeOutcome, string>>;
  }
  readonly waits: number[] = [];
  waitForChanges(_: string, after: number, wait: number): Promise<Result<FeedOutcome, string>> {
    this.asked.push(`after ${after}`);
    this.waits.push(wait);
    return this.next() as Promise<Result<FeedOutcome, string>>;
  }
  write(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(1));
  }
  remove(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(1));
  }
  private next(): Promise<unknown> {
    const answer = this.script.shift();
    return answer === undefined ? new Promise(() => undefined) : Promise.resolve(answer);
  }
}

function fakeClock(): Clock & { readonly sleeps: number[] } {
  const sleeps: number[] = [];
  return {
    sleeps,
    monotonic: () => 0,
    wall: () => 0,
    sleep: (duration) => {
      sleeps.push(duration);
      return Promise.resolve();
    },
  };
}

async function follow(
  script: Result<RangeOutcome | FeedOutcome, string>[],
  changes: number,
  reached = () => -1,
) {
  const store = new ScriptedStore(script);
  const clock = fakeClock();
  const seen: TableChange[] = [];
  await new Promise<void>((resolve) => {
    const subscription = followTable({
      store,
      table: "servers",
      clock,
      logger: quiet,
      pace: () => ({ gather: 100, longestGather: 400, wait: 10_000 }),
      reached,
    }).subscribe((change) => {
      seen.push(change);
      if (seen.length === changes) setImmediate(resolve);
    });
    t.teardown(() => {
      subscription.unsubscribe();
    });
  });
  return { seen, asked: store.asked, waits: store.waits, sleeps: clock.sleeps };
}

t.test("a table is read whole, then its changes are taken from there on", async (t) => {
  const { seen, asked } = await follow(
    [
      Result.ok({ rows: [row("a", 3)], version: 5 }),
      Result.ok({ kind: "changed", rows: [row("a", 7)], version: 7 }),
    ],
    2,
  );
  t.same(
    seen.map(({ kind }) => kind),
    ["whole", "rows"],
  );
  t.same(asked, ["read", "after 5", "after 7"]);
});

t.test("forgotten history is made good by a whole read", async (t) => {
  const { seen, asked } = await follow(
    [
      Result.ok({ rows: [], version: 5 }),
      Result.ok({ kind: "forgotten" }),
      Result.ok({ rows: [row("a", 9)], version: 9 }),
    ],
    2,
  );
  t.same(
    seen.map(({ kind }) => kind),
    ["whole", "whole"],
  );
  t.same(asked, ["read", "after 5", "read", "after 9"]);
});

t.test("an outage is told, and the feed goes on from where it was", async (t) => {
  const { seen, asked } = await follow(
    [
      Result.ok({ rows: [], version: 5 }),
      Result.err("status 503"),
      Result.err("status 503"),
      Result.ok({ kind: "changed", rows: [row("a", 6)], version: 6 }),
    ],
    4,
  );
  t.same(
    seen.map(({ kind }) => kind),
    ["whole", "away", "away", "rows"],
  );
  t.same(asked, ["read", "after 5", "after 5", "after 5", "after 6"]);
});

t.test("after an outage the first call tells soon that the store is back", async (t) => {
  const { waits } = await follow(
    [
      Result.ok({ rows: [], version: 5 }),
      Result.err("status 503"),
      Result.ok({ kind: "changed", rows: [row("a", 6)], version: 6 }),
    ],
    3,
  );
  t.equal(waits[0], 10_000);
  t.ok((waits[1] ?? Infinity) < 1_000, "a store without changes is not silent for long");
  t.equal(waits[2], 10_000);
});

t.test("a feed goes on from what peers told, and not from before it", async (t) => {
  const { asked } = await follow(
    [
      Result.ok({ rows: [], version: 5 }),
      Result.ok({ kind: "changed", rows: [row("a", 9)], version: 9 }),
    ],
    2,
    () => 8,
  );
  t.same(asked, ["read", "after 8", "after 9"]);
});

t.test("a run of changes is gathered for longer and longer, up to the bound", async (t) => {
  const change = (version: number): Result<FeedOutcome, string> =>
    Result.ok({ kind: "changed", rows: [row("a", version)], version });
  const { sleeps } = await follow(
    [Result.ok({ rows: [], version: 1 }), change(2), change(3), change(4)],
    4,
  );
  t.same(sleeps.slice(0, 4), [200, 400, 400, 400]);
});

t.test("a replica keeps the latest of each row, whoever tells it", (t) => {
  const replica = new TableReplica();
  t.equal(replica.version, -1, "nothing is known");
  replica.apply([row("a", 4), row("b", 2)], 4);
  t.same(replica.apply([row("a", 3, "old")], 3), [], "an earlier version is no news");
  t.same(
    replica.newerThan(2).map(({ key }) => key),
    ["a"],
  );
  t.equal(replica.version, 4);
  t.end();
});

t.test("a row that a whole read lacks is gone, and peers hear so", (t) => {
  const replica = new TableReplica();
  replica.apply([row("a", 1), row("b", 2)], 2);
  const news = replica.applyWhole([row("b", 2)], 6);
  t.same(news, [{ key: "a", version: 6, value: undefined }]);
  t.same(replica.newerThan(2), [{ key: "a", version: 6, value: undefined }]);
  t.same(replica.applyWhole([row("b", 2)], 7), [], "once");
  t.end();
});

t.test("a whole read that is older than a peer's news takes nothing back", (t) => {
  const replica = new TableReplica();
  replica.apply([row("a", 9)], 9);
  t.same(replica.applyWhole([], 5), []);
  t.end();
});
