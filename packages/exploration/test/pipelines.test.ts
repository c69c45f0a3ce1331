//! Points 1 and 2: each layer runs once and in order for every token, and each caller
//! gets the whole answer to its own request.
import t from "tap";
import { explore } from "../src/explore.js";
import type { EngineFault } from "../src/fake-engine.js";
import { drawEngineFault, runPipelines } from "../src/pipeline-scenario.js";
import { checkPipelines } from "../src/scenarios.js";
import { Simulation } from "../src/world.js";

const scheduleCount = 300;
const seeds = [21, 22, 23];
const drawsPerFault = 12;

/// Strikes the given engine at its given step, counted from 1.
function injectFaults(...faults: readonly (readonly [string, number, EngineFault])[]) {
  const steps = new Map<string, number>();
  return (engine: string): EngineFault => {
    const step = (steps.get(engine) ?? 0) + 1;
    steps.set(engine, step);
    return faults.find(([name, at]) => name === engine && at === step)?.[2] ?? "none";
  };
}

t.test("answers stay right whatever happens to engines", async (t) => {
  for (const seed of seeds) {
    const result = await explore(
      async (simulation) =>
        checkPipelines(
          await runPipelines(simulation, () => drawEngineFault(simulation, drawsPerFault), 2),
        ),
      seed,
      scheduleCount,
      false,
    );
    t.equal(result.violation, undefined, `seed ${seed}`);
  }
});

const scenarios: readonly [string, ReturnType<typeof injectFaults>][] = [
  ["a stage dies in mid-answer", injectFaults(["engine-7", 4, "dies"])],
  ["a stage freezes and wakes after its replacement", injectFaults(["engine-1", 3, "freezes"])],
  ["a stage forgets its caches", injectFaults(["engine-7", 5, "forgets"])],
  ["an answer of a stage is lost", injectFaults(["engine-1", 4, "answerLost"])],
  ["a stage is leaving and its cache is moved", injectFaults(["engine-1", 3, "leaves"])],
  [
    "two failures: a stage dies, then one that serves the recomputation",
    injectFaults(["engine-7", 4, "dies"], ["engine-1", 6, "dies"]),
  ],
  [
    "two failures: the same stage is lost twice",
    injectFaults(["engine-7", 4, "dies"], ["engine-3", 2, "freezes"]),
  ],
  [
    "two failures: a stage is leaving and its successor dies",
    injectFaults(["engine-1", 3, "leaves"], ["engine-2", 2, "dies"]),
  ],
  [
    "all engines of a layer range are gone",
    injectFaults(["engine-1", 2, "dies"], ["engine-2", 1, "dies"], ["engine-8", 1, "dies"]),
  ],
];

for (const [name, chooseFault] of scenarios) {
  t.test(name, async (t) => {
    const history = await runPipelines(new Simulation(), chooseFault, 1);
    t.same(checkPipelines(history), []);
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "session");
  });
}
