//! Entries of targets in a store that came back from a copy: what was known of a target's
//! process before holds against the copy, and the entries written since hold.
import { ListedState, type ListedTarget } from "@lovagebend/catalog";
import type { Logger } from "@lovagebend/common";
import t from "tap";
import { TargetRegistry } from "../src/index.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

// The time within which the entry of a target that has ended is removed from the list.
const lifetimeOfEntry = 4_000;

function createScenario() {
  let time = 0;
  const targetRegistry = new TargetRegistry(
    { monotonicTime: () => time, wallClockTime: () => time, sleep: () => Promise.resolve() },
    logger,
  );
  return {
    targetRegistry,
    advance: (milliseconds: number): void => {
      time += milliseconds;
      targetRegistry.expire();
    },
    isInUse: () => targetRegistry.isStaying("a"),
  };
}

const entry = (born: number, state = ListedState.Ready): ListedTarget => ({
  name: "a",
  service: "portal",
  host: "127.0.0.1",
  port: 1,
  dataCentre: "north",
  state,
  born,
  slots: 8,
  card: undefined,
  layers: undefined,
});

// Guards against DRAIN: the copy is from before the target announced that it leaves.
t.test("a target that leaves stays leaving, whatever the copy says", (t) => {
  const { targetRegistry, advance, isInUse } = createScenario();
  targetRegistry.addOrUpdate(entry(5), 1);
  targetRegistry.addOrUpdate(entry(5, ListedState.Leaving), 1);
  targetRegistry.addOrUpdate(entry(5), 2);
  t.notOk(isInUse());
  targetRegistry.addOrUpdate(entry(5), 2);
  t.notOk(isInUse(), "nor does a later entry of the same process end it");
  targetRegistry.addOrUpdate(entry(5), 3);
  advance(10 * lifetimeOfEntry);
  t.notOk(isInUse(), "nor a second restore");
  targetRegistry.addOrUpdate(entry(6), 3);
  t.ok(isInUse(), "a new process under the same name");
  t.end();
});

// Guards against DRAIN: the target was removed in the seconds that the copy lacks.
t.test("a removed target that the copy lists gets no work until its entry is renewed", (t) => {
  const { targetRegistry, advance, isInUse } = createScenario();
  targetRegistry.addOrUpdate(entry(5), 1);
  targetRegistry.markUnlisted("a");
  targetRegistry.addOrUpdate(entry(5), 2);
  t.notOk(isInUse());
  advance(lifetimeOfEntry - 1);
  t.notOk(isInUse());
  targetRegistry.addOrUpdate(entry(5), 2);
  t.ok(isInUse(), "the entry changed, so that the target is alive");
  t.end();
});

t.test("a removed target that the copy lists is used if its entry does not lapse", (t) => {
  const { targetRegistry, advance, isInUse } = createScenario();
  targetRegistry.addOrUpdate(entry(5), 1);
  targetRegistry.markUnlisted("a");
  targetRegistry.addOrUpdate(entry(5), 2);
  advance(lifetimeOfEntry);
  t.ok(isInUse());
  t.end();
});

t.test("a removed target whose entry lapses from the copy is not used again", (t) => {
  const { targetRegistry, advance, isInUse } = createScenario();
  targetRegistry.addOrUpdate(entry(5), 1);
  targetRegistry.markUnlisted("a");
  targetRegistry.addOrUpdate(entry(5), 2);
  targetRegistry.markUnlisted("a");
  advance(10 * lifetimeOfEntry);
  t.notOk(isInUse());
  t.end();
});

t.test("the copy's entry of an earlier process does not replace the later one", (t) => {
  const { targetRegistry, advance } = createScenario();
  targetRegistry.addOrUpdate(entry(9), 1);
  targetRegistry.addOrUpdate(entry(5), 2);
  t.equal(targetRegistry.get("a")?.born, 9);
  targetRegistry.addOrUpdate(entry(9), 2);
  advance(10 * lifetimeOfEntry);
  t.equal(targetRegistry.get("a")?.born, 9, "written again by the later process");
  t.end();
});

// Guards against an entry of another writer that keeps the target's own out for good.
t.test("the newest entry of an era holds, also over a later start", (t) => {
  const { targetRegistry, advance } = createScenario();
  targetRegistry.addOrUpdate(entry(Number.MAX_SAFE_INTEGER), 1);
  targetRegistry.addOrUpdate(entry(5), 1);
  t.equal(targetRegistry.get("a")?.born, 5);
  targetRegistry.addOrUpdate(entry(Number.MAX_SAFE_INTEGER), 1);
  targetRegistry.addOrUpdate(entry(5), 2);
  advance(lifetimeOfEntry);
  t.equal(targetRegistry.get("a")?.born, 5, "also across a restore, when the copy's has stayed");
  t.end();
});

t.test("within one era a target that no longer leaves is used again", (t) => {
  const { targetRegistry, isInUse } = createScenario();
  targetRegistry.addOrUpdate(entry(5, ListedState.Leaving), 1);
  targetRegistry.addOrUpdate(entry(5), 1);
  t.ok(isInUse());
  t.end();
});
