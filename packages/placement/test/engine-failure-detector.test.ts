//! Detection of lost engines by probes.
import type { Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import { EngineFailureDetector } from "../src/index.js";

const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const engines = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

function createWatch(unresponsive: ReadonlySet<string>) {
  const probed: string[] = [];
  const watch = new EngineFailureDetector(
    {
      readStatus: (engine) => {
        probed.push(engine);
        const status = { born: 1, orders: 1, isBusy: false, layers: undefined };
        return Promise.resolve(unresponsive.has(engine) ? Result.err("silent") : Result.ok(status));
      },
    },
    silentLogger,
  );
  const probe = async (suspected: readonly string[]): Promise<void> => {
    watch.probeSuspected(suspected);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { watch, ask: probe, asked: probed };
}

t.test("a suspected engine is lost after two failed probes", async (t) => {
  const { watch, ask } = createWatch(new Set(["a"]));
  await ask(["a", "b"]);
  t.same([...watch.findLostEngines(engines)], []);
  await ask([]);
  t.same(
    [...watch.findLostEngines(engines)],
    ["a"],
    "is probed again although it is no longer suspected",
  );
});

t.test("an engine that answers a probe again is not lost", async (t) => {
  const unresponsive = new Set(["a"]);
  const { watch, ask, asked } = createWatch(unresponsive);
  await ask(["a"]);
  await ask([]);
  unresponsive.clear();
  await ask([]);
  t.same([...watch.findLostEngines(engines)], []);
  await ask([]);
  t.equal(asked.length, 3, "and is not probed any more");
});

t.test("no engine is lost when most engines fail their probes", async (t) => {
  const { watch, ask } = createWatch(new Set(engines));
  await ask(engines);
  await ask(engines);
  t.same([...watch.findLostEngines(engines)], []);
});

t.test("an engine that is no longer listed is not probed", async (t) => {
  const { watch, ask, asked } = createWatch(new Set(["a"]));
  await ask(["a"]);
  watch.retainEngines(["b"]);
  await ask([]);
  t.equal(asked.length, 1);
});
