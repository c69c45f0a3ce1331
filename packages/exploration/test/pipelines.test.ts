//! Explores requirements 1 and 2: each layer runs once and in order for every token, and
//! each caller receives the complete answer to its own request.
import t from "tap";
import { explore } from "../src/explore.js";
import type { EngineFault } from "../src/fake-engine.js";
import { drawEngineFault, runPipelines } from "../src/pipeline-scenario.js";
import { checkPipelines } from "../src/scenarios.js";
import { Simulation } from "../src/simulation.js";

const scheduleCount = 300;
const seeds = [21, 22, 23];
const drawsPerFault = 12;

/// Returns a function that injects each fault at the given step of the given engine, counted
/// from 1.
function injectFaults(...faults: readonly (readonly [string, number, EngineFault])[]) {
  const steps = new Map<string, number>();
  return (engine: string): EngineFault => {
    const step = (steps.get(engine) ?? 0) + 1;
    steps.set(engine, step);
    return faults.find(([name, at]) => name === engine && at === step)?.[2] ?? "none";
  };
}

t.test("answers are correct under random engine faults", async (t) => {
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
  ["an answer is correct when a stage crashes", injectFaults(["engine-7", 4, "crashes"])],
  [
    "an answer is correct when a stage freezes and resumes after its replacement",
    injectFaults(["engine-1", 3, "freezes"]),
  ],
  [
    "an answer is correct when a stage loses its caches",
    injectFaults(["engine-7", 5, "losesCaches"]),
  ],
  [
    "an answer is correct when a stage's response is lost",
    injectFaults(["engine-1", 4, "losesResponse"]),
  ],
  [
    "an answer is correct when a stage is leaving and its cache is moved",
    injectFaults(["engine-1", 3, "leaves"]),
  ],
  [
    "two failures: an answer is correct when a stage crashes and then one that runs the recomputation",
    injectFaults(["engine-7", 4, "crashes"], ["engine-1", 6, "crashes"]),
  ],
  [
    "two failures: an answer is correct when the same stage is lost twice",
    injectFaults(["engine-7", 4, "crashes"], ["engine-3", 2, "freezes"]),
  ],
  [
    "two failures: an answer is correct when a stage is leaving and its successor crashes",
    injectFaults(["engine-1", 3, "leaves"], ["engine-2", 2, "crashes"]),
  ],
  [
    "an answer is refused when all engines of a layer range have crashed",
    injectFaults(
      ["engine-1", 2, "crashes"],
      ["engine-2", 1, "crashes"],
      ["engine-8", 1, "crashes"],
    ),
  ],
];

for (const [name, chooseFault] of scenarios) {
  t.test(name, async (t) => {
    const history = await runPipelines(new Simulation(), chooseFault, 1);
    t.same(checkPipelines(history), []);
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
  });
}
