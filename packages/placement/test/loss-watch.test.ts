//! Which engines count as lost, told from who answers.
import type { Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import { LossWatch } from "../src/index.js";

const quiet: Logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
const engines = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

function scene(silent: ReadonlySet<string>) {
  const asked: string[] = [];
  const watch = new LossWatch(
    {
      readStatus: (engine) => {
        asked.push(engine);
        const status = { born: 1, orders: 1, isBusy: false, layers: undefined };
        return Promise.resolve(silent.has(engine) ? Result.err("silent") : Result.ok(status));
      },
    },
    quiet,
  );
  const ask = async (doubted: readonly string[]): Promise<void> => {
    watch.ask(doubted);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { watch, ask, asked };
}

t.test("an engine that is doubted and stays silent twice is lost", async (t) => {
  const { watch, ask } = scene(new Set(["a"]));
  await ask(["a", "b"]);
  t.same([...watch.lost(engines)], []);
  await ask([]);
  t.same([...watch.lost(engines)], ["a"], "asked again though nobody doubts it any more");
});

t.test("an engine that answers again is not lost", async (t) => {
  const silent = new Set(["a"]);
  const { watch, ask, asked } = scene(silent);
  await ask(["a"]);
  await ask([]);
  silent.clear();
  await ask([]);
  t.same([...watch.lost(engines)], []);
  await ask([]);
  t.equal(asked.length, 3, "and is left alone");
});

t.test("an entry VM to which many are silent takes none for lost", async (t) => {
  const { watch, ask } = scene(new Set(engines));
  await ask(engines);
  await ask(engines);
  t.same([...watch.lost(engines)], []);
});

t.test("an engine that is no longer listed is forgotten", async (t) => {
  const { watch, ask, asked } = scene(new Set(["a"]));
  await ask(["a"]);
  watch.keepOnly(["b"]);
  await ask([]);
  t.equal(asked.length, 1);
});
