//! An entry VM that leaves the calls to the store to the followers of its data centre. It makes none
//! while they pass on what they see, and has changes in force in time whatever becomes of them.
import { TargetRegistry } from "@lovagebend/attempts";
import { ListedState, RouteTable } from "@lovagebend/catalog";
import type { Logger, Milliseconds } from "@lovagebend/common";
import { Result } from "true-myth";
import t, { type Test } from "tap";
import type { EntryDependencies } from "../src/index.js";
import { ReplicatedState } from "../src/replicated-state.js";
import { entryLimits } from "./entry-limits.js";
import { Outage, ScriptedStore } from "./scripted-store.js";
import { VirtualClock } from "./virtual-clock.js";

const propagationTime: Milliseconds = 3_000;
const exchangeInterval: Milliseconds = 400;
const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

const tables = {
  document: "op",
  documentKey: "config",
  targets: "servers",
  entryVms: "vms",
  verdicts: "v",
};

function createVm(clock: VirtualClock, store: ScriptedStore, isFollower: boolean) {
  const targetRegistry = new TargetRegistry(clock, logger);
  const dependencies: Partial<EntryDependencies> = {
    clock,
    logger,
    store,
    tables,
    limits: { ...entryLimits, propagationTime },
    readTarget: (name) =>
      Result.ok({
        name,
        service: "portal",
        host: "127.0.0.1",
        port: 80,
        dataCentre: "north",
        state: ListedState.Ready,
        born: 1,
        slots: 8,
        card: undefined,
        layers: undefined,
      }),
    readDocument: (value) => {
      const limits = {
        maximumHeaderBytes: 1,
        maximumBodyBytes: 1,
        headerTimeout: 1,
        idleTimeout: 1,
      };
      const version = Number(value.toString());
      const services = new Map();
      const parts = { version, routes: [], services, workspaces: [], limits };
      return Result.ok({ table: new RouteTable(parts), faults: [] });
    },
  };
  const state = new ReplicatedState(dependencies as EntryDependencies, targetRegistry);
  state.shouldFollowDirectly = () => isFollower;
  return { state, targetRegistry };
}

interface Scenario {
  readonly clock: VirtualClock;
  readonly store: ScriptedStore;
  /// The store as the follower and as the entry VM reach it; each counts its own calls.
  readonly followerStore: ScriptedStore;
  readonly ownStore: ScriptedStore;
  readonly follower: ReplicatedState;
  readonly vm: ReplicatedState;
  readonly targets: TargetRegistry;
  /// Whether exchanges with the follower succeed.
  isConnected: boolean;
  /// Advances the time. The entry VM exchanges with the follower all the while.
  readonly run: (duration: Milliseconds) => Promise<void>;
}

async function startScenario(t: Test): Promise<Scenario> {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock);
  store.put("op", "config", "1");
  store.put("servers", "a", "entry");
  const followerStore = Object.create(store) as ScriptedStore;
  const ownStore = Object.create(store) as ScriptedStore;
  const { state: follower } = createVm(clock, followerStore, true);
  const { state: vm, targetRegistry: targets } = createVm(clock, ownStore, false);
  for (const state of [follower, vm]) {
    const subscription = state.followStore();
    t.teardown(() => {
      subscription.unsubscribe();
    });
  }
  const exchange = (): void => {
    const { document, targets: listed } = vm.replicas;
    vm.mergePeerState(
      {
        tables: {
          document: follower.replicas.document.composeTransfer(document.revision),
          targets: follower.replicas.targets.composeTransfer(listed.revision),
        },
        document: undefined,
        lapseGrace: 0,
      },
      "follower",
    );
    for (const table of ["document", "targets"] as const)
      vm.recordPeerView({
        table,
        age: follower.getViewAge(table),
        revision: follower.replicas[table].revision,
        askedAt: clock.monotonicTime(),
      });
  };
  const scenario: Scenario = {
    clock,
    store,
    followerStore,
    ownStore,
    follower,
    vm,
    targets,
    isConnected: true,
    run: async (duration) => {
      const end = clock.monotonicTime() + duration;
      while (clock.monotonicTime() < end) {
        await clock.advanceTo(Math.min(end, clock.monotonicTime() + exchangeInterval));
        for (const { targetRegistry } of [follower, vm]) targetRegistry.expire();
        if (scenario.isConnected) exchange();
      }
    },
  };
  await scenario.run(3_000);
  return scenario;
}

t.test("it makes no calls while a follower passes on what it sees", async (t) => {
  const { store, ownStore, vm, targets, run } = await startScenario(t);
  const before = ownStore.callCount;
  store.put("op", "config", "2");
  store.delete("servers", "a");
  await run(20_000);
  t.equal(ownStore.callCount, before);
  t.equal(vm.routes?.version, 2);
  t.equal(targets.get("a"), undefined);
});

t.test(
  "it asks for the document now and then, in case all followers missed a change",
  async (t) => {
    const { ownStore, run } = await startScenario(t);
    const before = ownStore.callCount;
    await run(60_000);
    t.equal(ownStore.callCount - before, 2);
  },
);

// Guards against DRAIN and CONFIG: a removed target, or older settings, in use because nobody passes
// changes on.
t.test("changes are in force in time when the followers fall silent", async (t) => {
  const scenario = await startScenario(t);
  scenario.isConnected = false;
  scenario.store.delete("servers", "a");
  scenario.store.put("op", "config", "2");
  await scenario.run(propagationTime);
  t.equal(scenario.targets.get("a"), undefined);
  t.equal(scenario.vm.routes?.version, 2);
});

t.test("changes are in force in time when the followers no longer reach the store", async (t) => {
  const scenario = await startScenario(t);
  const { store, followerStore, follower, clock, run } = scenario;
  const fail = async (timeout: Milliseconds) => {
    await clock.sleep(timeout);
    return Result.err("no response");
  };
  followerStore.waitForChanges = (_table, _after, timeout) => fail(timeout);
  await run(1_200);
  store.delete("servers", "a");
  store.put("op", "config", "2");
  await run(propagationTime);
  t.equal(scenario.targets.get("a"), undefined);
  t.equal(scenario.vm.routes?.version, 2);
  t.ok(follower.getViewAge("document") > propagationTime, "the follower does not pass for current");
});

// Guards against an entry VM that was paused, and then relies on what it was told before.
t.test("an answer that is read late does not count from the time of reading", async (t) => {
  const clock = new VirtualClock();
  const { state: vm } = createVm(clock, new ScriptedStore(clock), false);
  await clock.advanceTo(5_000);
  const { revision } = vm.replicas.targets;
  vm.recordPeerView({ table: "targets", age: 300, revision, askedAt: 1_000 });
  t.equal(vm.getViewAge("targets"), 4_300);
});

t.test("a view counts only if this entry VM holds what the peer does", async (t) => {
  const { clock, vm } = await startScenario(t);
  const { era, version } = vm.replicas.targets.revision;
  const before = vm.getViewAge("targets");
  const statement = { table: "targets", age: 0, askedAt: clock.monotonicTime() } as const;
  vm.recordPeerView({ ...statement, revision: { era, version: version + 1 } });
  t.equal(vm.getViewAge("targets"), before);
  vm.recordPeerView({ ...statement, revision: { era, version } });
  t.equal(vm.getViewAge("targets"), 0);
});

t.test("it notices an outage of the store, and its end", async (t) => {
  const scenario = await startScenario(t);
  const { store, targets, run } = scenario;
  store.setOutage(Outage.Refusing);
  await run(propagationTime + 1_500);
  t.equal(targets.isStoreAvailable, false);
  store.setOutage(Outage.None);
  await run(1_500);
  t.equal(targets.isStoreAvailable, true);
  store.delete("servers", "a");
  await run(6_000);
  t.equal(targets.get("a"), undefined);
});
