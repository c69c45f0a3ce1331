//! Path search, replica selection, maximum flow and prefix affinity as pure functions.
import { TargetState, type TargetView } from "@lovagebend/membership";
import t from "tap";
import {
  choosePath,
  chooseService,
  computeMaximumFlow,
  choosePrefixHomes,
  PrefixIndex,
  computePrefixKeys,
} from "../src/index.js";

function target(
  name: string,
  firstLayer: number,
  endLayer: number,
  change: Partial<TargetView> = {},
): TargetView {
  return {
    name,
    group: "model",
    dataCentre: "north-a",
    firstLayer,
    endLayer,
    tokensPerSecond: 100,
    latency: 1,
    state: TargetState.Serving,
    load: { queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving: false },
    reportAge: 0,
    openAnswers: 0,
    ...change,
  };
}

function names(
  targets: readonly TargetView[],
  firstLayer = 0,
  endLayer = 6,
): readonly string[] | number {
  const path = choosePath(targets, { firstLayer, endLayer });
  return path.isOk ? path.value.targets.map(({ name }) => name) : path.error.layer;
}

t.test("a path covers all layers once and in order, with the minimum delay", (t) => {
  const targets = [target("c", 4, 6), target("a", 0, 2), target("b", 2, 4), target("d", 2, 6)];
  t.same(names(targets), ["a", "d"]);
  t.same(names([...targets.slice(0, 3), target("d", 2, 6, { openAnswers: 9 })]), ["a", "b", "c"]);
  t.same(names(targets, 2, 4), ["b"]);
  t.end();
});

t.test("the error contains the first uncovered layer if there is no path", (t) => {
  t.equal(names([target("a", 0, 2), target("b", 4, 6)]), 2);
  t.equal(names([]), 0);
  t.end();
});

t.test("a path avoids slow and busy targets and includes penalties in its cost", (t) => {
  const slow = target("slow", 0, 6, { tokensPerSecond: 20 });
  const busy = target("busy", 0, 6, { openAnswers: 3 });
  t.same(names([slow, busy]), ["busy"]);
  const path = choosePath([slow, busy], {
    firstLayer: 0,
    endLayer: 6,
    penalty: ({ name }) => (name === "slow" ? -30 : 0),
  });
  t.equal(path.isOk && path.value.targets[0]?.name, "slow");
  t.end();
});

t.test("the maximum flow is limited by the layers with the lowest capacity", (t) => {
  const flow = computeMaximumFlow(
    [target("a", 0, 2), target("b", 0, 2), target("c", 2, 6), target("d", 0, 6)],
    6,
  );
  t.equal(flow.tokensPerSecond, 200);
  t.equal(computeMaximumFlow([target("a", 0, 2)], 6).tokensPerSecond, 0);
  t.end();
});

t.test("a service call stays in its data centre while a replica is available there", (t) => {
  const local = target("local", 0, 1, { openAnswers: 50 });
  const remote = target("remote", 0, 1, { dataCentre: "south-c" });
  t.equal(chooseService([local, remote], "north-a")?.name, "local");
  t.equal(chooseService([remote], "north-a")?.name, "remote");
  t.equal(chooseService([], "north-a"), undefined);
  t.end();
});

t.test("a gap in cache events clears the target's entries", (t) => {
  const index = new PrefixIndex();
  const keys = computePrefixKeys(Array.from({ length: 40 }, (_, token) => token));
  t.equal(keys.length, 2);
  index.record(
    "a",
    keys.map((key, place) => ({ sequence: place + 1, kind: "stored" as const, key })),
  );
  t.equal(index.cachedTokens("a", keys), 32);
  index.record("a", [{ sequence: 3, kind: "evicted", key: keys[1] ?? "" }]);
  t.equal(index.cachedTokens("a", keys), 16);
  index.record("a", [{ sequence: 9, kind: "stored", key: "other" }]);
  t.equal(index.cachedTokens("a", keys), 0);
  t.end();
});

t.test("a prefix has one home in each layer range and keeps it when other targets leave", (t) => {
  const targets = ["a", "b", "c"].flatMap((name) => [
    target(`${name}1`, 0, 3),
    target(`${name}2`, 3, 6),
  ]);
  const homes = choosePrefixHomes("some prefix", targets);
  t.equal(homes.size, 2);
  const [first = ""] = homes;
  const without = targets.filter(({ name }) => homes.has(name) || name.endsWith("2"));
  t.ok(choosePrefixHomes("some prefix", without).has(first));
  t.end();
});
