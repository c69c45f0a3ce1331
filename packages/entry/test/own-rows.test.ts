//! The rows that entry VMs keep in the store through failed writes and restores of the store.
import type { Logger, Milliseconds } from "@lovagebend/common";
import { StoreEra, type RowStore } from "@lovagebend/store";
import { Result } from "true-myth";
import t from "tap";
import { keepOwnRows } from "../src/own-rows.js";
import { VirtualClock } from "./virtual-clock.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

const entryVmCount = 90;
// A fraction of what a store takes from all entry VMs together.
const maximumWritesPerSecond = 60;
const rewriteBound: Milliseconds = 6_000;

interface Write {
  readonly key: string;
  readonly at: Milliseconds;
}

function createScenario() {
  const clock = new VirtualClock();
  const writes: Write[] = [];
  const mode = { isRefusing: false };
  const era = new StoreEra(logger);
  era.observeAnswer(1);
  const unused = () => Promise.resolve(Result.err<never, string>("unused"));
  const store: RowStore = {
    era,
    readTable: unused,
    waitForChanges: unused,
    write: (_table, key) => {
      writes.push({ key, at: clock.monotonicTime() });
      return Promise.resolve(mode.isRefusing ? Result.err("status 503") : Result.ok(1));
    },
    remove: unused,
  };
  return { clock, writes, mode, store };
}

function startEntryVm(
  t: { teardown: (end: () => void) => void },
  { clock, store }: Pick<ReturnType<typeof createScenario>, "clock" | "store">,
  key: string,
): void {
  const controller = new AbortController();
  t.teardown(() => {
    controller.abort();
  });
  const row = { key, content: "self", value: Buffer.from("self") };
  const options = { store, clock, logger, table: "vms", event: "written", listRows: () => [row] };
  void keepOwnRows(options, controller.signal);
}

// Guards against an entry VM that nobody finds: its registration was tried once.
t.test("a row that the store refuses is written later, with growing delays", async (t) => {
  const { clock, writes, mode, store } = createScenario();
  mode.isRefusing = true;
  startEntryVm(t, { clock, store }, "vm-1");
  await clock.advanceTo(20_000);
  const refused = writes.length;
  t.ok(refused > 2 && refused < 10, `${refused} refused writes in 20 s`);
  mode.isRefusing = false;
  await clock.advanceTo(30_000);
  t.equal(writes.length, refused + 1);
  await clock.advanceTo(90_000);
  t.equal(writes.length, refused + 1, "written once");
});

// Guards against rows that a restored store has lost for good, and against a burst of writes.
t.test("each row is written again after a restore, spread over seconds", async (t) => {
  const { clock, writes, store } = createScenario();
  for (let index = 1; index <= entryVmCount; index += 1)
    startEntryVm(t, { clock, store }, `vm-${index}`);
  await clock.advanceTo(10_000);
  for (const era of [2, 5]) {
    writes.length = 0;
    const restoredAt = clock.monotonicTime();
    store.era.observeAnswer(era);
    await clock.advanceTo(restoredAt + rewriteBound);
    t.equal(new Set(writes.map(({ key }) => key)).size, entryVmCount);
    t.equal(writes.length, entryVmCount, "once each");
    const busiest = Math.max(
      ...writes.map(
        ({ at }) => writes.filter((write) => write.at >= at && write.at < at + 1_000).length,
      ),
    );
    t.ok(busiest <= maximumWritesPerSecond, `${busiest} writes in the busiest second`);
  }
});

t.test("rows that the table held are not written until the store is restored", async (t) => {
  const { clock, writes, store } = createScenario();
  const controller = new AbortController();
  t.teardown(() => {
    controller.abort();
  });
  const row = { key: "part", content: "1 active", value: Buffer.from("verdict") };
  const written = { era: 1, contents: new Map([["part", "1 active"]]) };
  const options = { store, clock, logger, table: "v", event: "written", listRows: () => [row] };
  void keepOwnRows({ ...options, written }, controller.signal);
  await clock.advanceTo(10_000);
  t.equal(writes.length, 0);
  store.era.observeAnswer(2);
  await clock.advanceTo(20_000);
  t.equal(writes.length, 1);
});
