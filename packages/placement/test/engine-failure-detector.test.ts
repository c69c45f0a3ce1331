//! Detection of lost engines by probes.
import type { Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import { EngineFailureDetector, type LossWitnesses } from "../src/index.js";

const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const engines = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

function createDetector(unresponsive: ReadonlySet<string>, witnesses?: LossWitnesses) {
  const probed: string[] = [];
  const detector = new EngineFailureDetector(
    {
      readStatus: (engine) => {
        probed.push(engine);
        const status = { born: 1, orders: 1, isBusy: false, layers: undefined };
        return Promise.resolve(
          unresponsive.has(engine) ? Result.err("no answer") : Result.ok(status),
        );
      },
    },
    silentLogger,
    witnesses,
  );
  const probe = async (suspected: readonly string[]): Promise<void> => {
    detector.probeSuspected(suspected);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { detector, probe, probed };
}

t.test("a suspected engine is lost after two failed probes", async (t) => {
  const { detector, probe } = createDetector(new Set(["a"]));
  await probe(["a", "b"]);
  t.same([...detector.findLostEngines(engines)], []);
  await probe([]);
  t.same(
    [...detector.findLostEngines(engines)],
    ["a"],
    "is probed again although it is no longer suspected",
  );
});

t.test("an engine that answers a probe again is not lost", async (t) => {
  const unresponsive = new Set(["a"]);
  const { detector, probe, probed } = createDetector(unresponsive);
  await probe(["a"]);
  await probe([]);
  unresponsive.clear();
  await probe([]);
  t.same([...detector.findLostEngines(engines)], []);
  await probe([]);
  t.equal(probed.length, 3, "and is not probed any more");
});

t.test("no engine is lost when most engines fail their probes", async (t) => {
  const { detector, probe } = createDetector(new Set(engines));
  await probe(engines);
  await probe(engines);
  t.same([...detector.findLostEngines(engines)], []);
});

t.test("an engine that is no longer listed is not probed", async (t) => {
  const { detector, probe, probed } = createDetector(new Set(["a"]));
  await probe(["a"]);
  detector.retainEngines(["b"]);
  await probe([]);
  t.equal(probed.length, 1);
});

// A data centre with four of ten engines ended, and no order was sent until the entries lapsed.
t.test("many engines are lost if other entry VMs don't reach them either", async (t) => {
  const lost = new Set(["a", "b", "c", "d"]);
  const asked: (readonly string[])[] = [];
  const { detector, probe } = createDetector(lost, {
    findUnreachable: (names) => {
      asked.push(names);
      return Promise.resolve([new Set(names), new Set(["a", "b", "c"])]);
    },
  });
  await probe(engines);
  await probe([]);
  t.same([...detector.findLostEngines(engines)], [], "not before others have answered");
  await probe([]);
  t.same([...detector.findLostEngines(engines)], ["a", "b", "c"], "another one has reached d");
  t.same(asked[0], ["a", "b", "c", "d"]);
  lost.delete("a");
  await probe([]);
  t.notOk(detector.findLostEngines(engines).has("a"), "it has answered again");
});

// A process without processor time for 200 ms took engines for lost that had answered.
// Guards against CONFIG: while the engines of one service stayed unconfirmed, those of another were never
// asked about, and its layers not placed again.
t.test("the losses of one service are confirmed beside unconfirmed ones of another", async (t) => {
  const first = ["a", "b"];
  const second = ["c", "d", "e"];
  const lost = new Set([...first, "c", "d"]);
  // Other entry VMs reach the engines of the first service.
  const witnesses: LossWitnesses = {
    findUnreachable: (asked) =>
      Promise.resolve([new Set(asked.filter((name) => second.includes(name)))]),
  };
  const { detector, probe } = createDetector(lost, witnesses);
  await probe([...lost]);
  let found: ReadonlySet<string> = new Set();
  for (let check = 0; check < 5; check += 1) {
    t.same([...detector.findLostEngines(first)], []);
    found = detector.findLostEngines(second);
    await probe([]);
  }
  t.same([...found].sort(), ["c", "d"]);
});

t.test("probes that were in progress while the process was delayed don't count", async (t) => {
  const { detector, probe } = createDetector(new Set(["a"]));
  for (let tick = 0; tick < 3; tick += 1) {
    const probing = probe(["a"]);
    detector.recordDelay();
    await probing;
  }
  t.same([...detector.findLostEngines(engines)], []);
});

t.test("an entry VM that reaches no other one takes no engine for lost", async (t) => {
  const { detector, probe } = createDetector(new Set(engines), {
    findUnreachable: () => Promise.resolve([]),
  });
  for (let tick = 0; tick < 4; tick += 1) {
    await probe(engines);
    t.same([...detector.findLostEngines(engines)], []);
  }
});
