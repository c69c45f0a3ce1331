//! An entry VM that does not follow the store itself. It makes no calls while the followers pass on what
//! they see, and has changes in force in time whatever becomes of them.
import t from "tap";
import {
  createVm,
  FollowerFault,
  propagationTime,
  startScenario,
} from "./relayed-views-fixture.js";
import { Outage, ScriptedStore } from "./scripted-store.js";
import { VirtualClock } from "./virtual-clock.js";

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

// Guards against DRAIN and CONFIG: a removed target, a withdrawn key or older settings in use because
// nobody passes changes on. The change comes at several moments before and after the fault.
const changeMoments = [-400, -100, 0, 300, 700, 1_100, 1_500, 2_000, 3_000];
const allAtOnce = [0, 1];
for (const fault of Object.values(FollowerFault))
  for (const faulty of [[0], allAtOnce])
    t.test(`changes are in force in time: ${faulty.length} of 2 followers ${fault}`, async (t) => {
      for (const moment of changeMoments) {
        const { store, followers, vm, targets, run } = await startScenario(t);
        const change = (): void => {
          store.delete("servers", "a");
          store.put("op", "config", "2");
        };
        await run(1_000 + Math.min(0, moment));
        if (moment < 0) change();
        await run(Math.max(0, -moment));
        for (const index of faulty) {
          const follower = followers[index];
          if (follower !== undefined) follower.fault = fault;
        }
        await run(Math.max(0, moment));
        if (moment >= 0) change();
        await run(propagationTime + Math.min(0, moment));
        t.equal(targets.get("a"), undefined, `target removed ${moment} ms after the fault`);
        t.equal(vm.routes?.version, 2, `settings changed ${moment} ms after the fault`);
      }
    });

t.test("a follower that was frozen does not pass for current when it wakes", async (t) => {
  const { store, followers, vm, targets, run } = await startScenario(t);
  for (const follower of followers) follower.fault = FollowerFault.Frozen;
  await run(1_000);
  store.delete("servers", "a");
  store.put("op", "config", "2");
  await run(1_000);
  for (const follower of followers) follower.fault = FollowerFault.None;
  await run(propagationTime - 1_000);
  t.equal(targets.get("a"), undefined);
  t.equal(vm.routes?.version, 2);
});

t.test("a follower without the store does not pass for current", async (t) => {
  const { followers, run } = await startScenario(t);
  for (const follower of followers) follower.fault = FollowerFault.CutFromStore;
  await run(2 * propagationTime);
  for (const { state } of followers) t.ok(state.getViewAge("document") > propagationTime);
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
