//! Which targets an entry VM uses after an outage of the store, when entries of live targets
//! lapse and targets leave.
import { ListedState, RouteTable } from "@lovagebend/catalog";
import type { Logger, Milliseconds } from "@lovagebend/common";
import { TargetRegistry } from "@lovagebend/attempts";
import { initialEra } from "@lovagebend/store";
import { Result } from "true-myth";
import t, { type Test } from "tap";
import type { EntryDependencies } from "../src/index.js";
import { ReplicatedState } from "../src/replicated-state.js";
import { entryLimits } from "./entry-limits.js";
import { Outage, ScriptedStore } from "./scripted-store.js";
import { VirtualClock } from "./virtual-clock.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

const outageStart: Milliseconds = 2_000;
const outageEnd: Milliseconds = 6_500;
const briefOutageEnd: Milliseconds = 2_900;
// The time after which the store counts as stable again, and from which on a removed target
// must get no new work after the drain bound.
const stableAfter: Milliseconds = 3_000;
const drainBound: Milliseconds = 2_000;
const settingsBound: Milliseconds = 2_000;
// Entries of live targets that lapsed during an outage are listed again within this time.
const returnBound: Milliseconds = 2_000;
const maintenanceInterval: Milliseconds = 250;
const sweepStep: Milliseconds = 100;

interface Scenario {
  readonly clock: VirtualClock;
  readonly store: ScriptedStore;
  readonly targetRegistry: TargetRegistry;
  readonly replicatedState: ReplicatedState;
  readonly end: () => void;
}

/// An entry VM's view of a store with the targets `a` and `b`, which goes through an outage.
async function startScenario(outage: Outage): Promise<Scenario> {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock);
  const targetRegistry = new TargetRegistry(clock, logger);
  const dependencies: Partial<EntryDependencies> = {
    clock,
    logger,
    store,
    limits: entryLimits,
    tables: {
      document: "op",
      documentKey: "config",
      targets: "servers",
      entryVms: "vms",
      verdicts: "v",
    },
    readDocument: (value) => Result.ok({ table: createTable(Number(value)), faults: [] }),
    readTarget: (name) =>
      Result.ok({
        name,
        service: "portal",
        host: "127.0.0.1",
        port: name.charCodeAt(0),
        dataCentre: "north",
        state: ListedState.Ready,
        born: 1,
        slots: 8,
        card: undefined,
        layers: undefined,
      }),
  };
  const replicatedState = new ReplicatedState(dependencies as EntryDependencies, targetRegistry);
  for (const name of ["a", "b"]) store.put("servers", name, "entry");
  const subscription = replicatedState.followStore();
  const maintenance = new AbortController();
  void (async () => {
    while (!maintenance.signal.aborted) {
      targetRegistry.expire();
      await clock.sleep(maintenanceInterval, maintenance.signal);
    }
  })();
  await clock.advanceTo(outageStart);
  store.setOutage(outage);
  return {
    clock,
    store,
    targetRegistry,
    replicatedState,
    end: () => {
      maintenance.abort();
      subscription.unsubscribe();
    },
  };
}

function createTable(version: number): RouteTable {
  const limits = { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  return new RouteTable({ version, routes: [], services: new Map(), workspaces: [], limits });
}

// The arguments with which a peer's message reports that `target` is not listed any more.
function createPeerRemoval(
  target: string,
  lapseGrace: Milliseconds,
): Parameters<ReplicatedState["mergePeerState"]> {
  const removal = { key: target, version: 100 + target.charCodeAt(0), value: undefined };
  const tables = {
    document: { rows: [], revision: { era: initialEra, version: -1 }, isWhole: false },
    targets: {
      rows: [removal],
      revision: { era: initialEra, version: removal.version },
      isWhole: false,
    },
  };
  return [{ tables, document: undefined, lapseGrace }, "peer"];
}

function range(first: Milliseconds, last: Milliseconds): Milliseconds[] {
  const count = Math.floor((last - first) / sweepStep) + 1;
  return Array.from({ length: count }, (_, index) => first + index * sweepStep);
}

// Returns the offsets after the store's return at which the removal of a target takes effect
// only after the drain bound.
async function findLateRemovals(
  t: Test,
  outage: Outage,
  offsets: readonly Milliseconds[],
): Promise<Milliseconds[]> {
  const late: Milliseconds[] = [];
  for (const offset of offsets) {
    const { clock, store, targetRegistry, end } = await startScenario(outage);
    await clock.advanceTo(outageEnd);
    store.setOutage(Outage.None);
    await clock.advanceTo(outageEnd + offset);
    store.delete("servers", "a");
    await clock.advanceTo(outageEnd + offset + drainBound);
    if (targetRegistry.isStaying("a")) late.push(offset);
    t.ok(targetRegistry.isStaying("b"));
    end();
  }
  return late;
}

// Guards against requests to a removed target: the registry learned of the store's return only
// from the next changed row, and kept the target of that row for the grace period.
t.test(
  "a target removed after the store's return gets no work after the drain bound, at any moment",
  async (t) => {
    const late = await findLateRemovals(t, Outage.Refusing, range(stableAfter, 10_000));
    t.same(late, [], "removed in time, whenever the removal comes after the return");
  },
);

// Guards against requests to a removed target: a poll that the store never answered was waited
// out, and the grace period began when it failed, long after the store's return.
t.test(
  "a target removed after the store was silent gets no work after the drain bound, at any moment",
  async (t) => {
    const late = await findLateRemovals(t, Outage.Silent, range(stableAfter, 10_000));
    t.same(late, [], "removed in time, whenever the removal comes after the return");
  },
);

for (const outage of [Outage.Refusing, Outage.Silent])
  t.test(
    `a target whose entry lapsed in a ${outage} outage is used until it is listed again`,
    async (t) => {
      const lost: Milliseconds[] = [];
      for (const offset of range(100, returnBound)) {
        const { clock, store, targetRegistry, end } = await startScenario(outage);
        await clock.advanceTo(outageEnd - 500);
        store.delete("servers", "a");
        await clock.advanceTo(outageEnd);
        store.setOutage(Outage.None);
        for (const time of range(outageEnd, outageEnd + offset)) {
          await clock.advanceTo(time);
          if (!targetRegistry.isStaying("a")) lost.push(offset);
        }
        store.put("servers", "a", "entry");
        await clock.advanceTo(outageEnd + offset + drainBound);
        t.ok(targetRegistry.isStaying("a"), `listed again after ${offset} ms`);
        end();
      }
      t.same(lost, [], "kept, whenever the entry returns");
    },
  );

// Guards against settings that come into force late: the poll for the document was waited out
// although the feed of the targets knew that the store had been silent.
t.test("settings written after the store was silent are in force in time", async (t) => {
  const late: Milliseconds[] = [];
  for (const offset of range(stableAfter, 10_000)) {
    const { clock, store, replicatedState, end } = await startScenario(Outage.Silent);
    await clock.advanceTo(briefOutageEnd);
    store.setOutage(Outage.None);
    await clock.advanceTo(briefOutageEnd + offset);
    store.put("op", "config", "7");
    await clock.advanceTo(briefOutageEnd + offset + settingsBound);
    if (replicatedState.routes?.version !== 7) late.push(offset);
    end();
  }
  t.same(late, [], "in force in time, whenever they are written after the return");
});

// Guards against an entry VM that alone has lost the store and keeps sending requests to removed
// targets until it has the store back, although its peers know that the targets are gone.
t.test("an entry VM without the store removes a target that its peers have removed", async (t) => {
  const { clock, targetRegistry, replicatedState, end } = await startScenario(Outage.Refusing);
  await clock.advanceTo(outageEnd);
  replicatedState.mergePeerState(...createPeerRemoval("a", 0));
  t.notOk(targetRegistry.isStaying("a"), "the peer has had the store all the time");
  t.equal(targetRegistry.getRemainingGrace(), 0, "the removal is passed on as final");
  replicatedState.mergePeerState(...createPeerRemoval("b", 1_500));
  await clock.advanceTo(outageEnd + 1_400);
  t.ok(targetRegistry.isStaying("b"), "kept as long as the peer keeps it");
  await clock.advanceTo(outageEnd + 1_500 + maintenanceInterval);
  t.notOk(targetRegistry.isStaying("b"));
  end();
});

// Guards against removing live targets: a peer that started after the store came back from a copy
// knows of no outage, and its table lacks the targets that have not written again yet.
for (const outage of [Outage.None, Outage.Refusing])
  t.test(`a live target missing from a restored table of a peer is kept (${outage})`, async (t) => {
    const { clock, targetRegistry, replicatedState, store, end } = await startScenario(outage);
    store.era.observeAnswer(1);
    const document = { rows: [], revision: { era: 2, version: 0 }, isWhole: true };
    const row = { key: "b", version: 1, value: Buffer.from("entry") };
    const targets = { rows: [row], revision: { era: 2, version: 1 }, isWhole: true };
    const sent = { tables: { document, targets }, document: undefined, lapseGrace: 0 };
    replicatedState.mergePeerState(sent, "peer");
    await clock.advanceTo(outageStart + returnBound);
    t.ok(targetRegistry.isStaying("a"), "kept until it has had time to be listed again");
    await clock.advanceTo(outageStart + returnBound + drainBound);
    t.notOk(targetRegistry.isStaying("a"));
    t.ok(targetRegistry.isStaying("b"));
    end();
  });

// Guards against an entry VM that learns of a restore from the document and reads the targets
// without a grace period.
t.test("an era that only a peer's document names begins the grace period", async (t) => {
  const { targetRegistry, replicatedState, store, end } = await startScenario(Outage.None);
  store.era.observeAnswer(1);
  const document = { rows: [], revision: { era: 2, version: 0 }, isWhole: true };
  const targets = { rows: [], revision: { era: initialEra, version: -1 }, isWhole: false };
  const sent = { tables: { document, targets }, document: undefined, lapseGrace: 0 };
  replicatedState.mergePeerState(sent, "peer");
  t.equal(store.era.current, 2);
  t.ok(targetRegistry.getRemainingGrace() >= returnBound);
  end();
});
