//! Benchmark of the order of weight loads when all replicas restart at once and the weight
//! store serves two loads at a time. The baseline loads in random order.
import { planLoads, type EngineLoadState } from "@lovagebend/orders";
import { round, type BenchResult } from "./bench-result.js";
import { createSeededRandom } from "./random.js";

const ranges = ["0-6", "6-12", "12-18", "18-24"];
const replicasPerRange = 5;
const concurrentLoads = 2;
const loadSeconds = 1;
const trials = 200;
const roundingTolerance = 1e-6;

/// Compares the time until every layer range has a replica with the wanted version.
export function benchWeights(seed: number): BenchResult {
  const draw = createSeededRandom(seed);
  let plannedSeconds = 0;
  let baselineSeconds = 0;
  for (let trial = 0; trial < trials; trial += 1) {
    plannedSeconds +=
      measureCoverageSeconds((engines) => planLoads(engines, "v2", concurrentLoads).targets, draw) /
      trials;
    baselineSeconds +=
      measureCoverageSeconds((engines) => pickRandomWaiting(engines, draw), draw) / trials;
  }
  const minimumSeconds = (ranges.length / concurrentLoads) * loadSeconds;
  return {
    bench: "weights",
    seed,
    ratio: round(minimumSeconds / plannedSeconds),
    baselineRatio: round(minimumSeconds / baselineSeconds),
    goal: "a complete path as early as the store's limit of concurrent loads allows",
    met: plannedSeconds <= minimumSeconds + roundingTolerance,
    figures: { plannedSeconds: round(plannedSeconds), firstComeSeconds: round(baselineSeconds) },
  };
}

function measureCoverageSeconds(
  chooseLoads: (engines: readonly EngineLoadState[]) => readonly string[],
  draw: (bound: number) => number,
): number {
  let engines: EngineLoadState[] = ranges.flatMap((range) =>
    Array.from({ length: replicasPerRange }, (_, index) => ({
      target: `${range}/${index}`,
      layerRange: range,
      version: null,
      loading: null,
    })),
  );
  engines.sort(() => draw(3) - 1);
  for (let seconds = 0; ; seconds += loadSeconds) {
    const readyRanges = new Set(
      engines.filter(({ version }) => version === "v2").map(({ layerRange: range }) => range),
    );
    if (readyRanges.size === ranges.length) return seconds;
    const selectedTargets = new Set(chooseLoads(engines));
    engines = engines.map((engine) =>
      selectedTargets.has(engine.target) ? { ...engine, version: "v2" } : engine,
    );
  }
}

function pickRandomWaiting(
  engines: readonly EngineLoadState[],
  draw: (bound: number) => number,
): string[] {
  const waitingEngines = engines.filter(({ version }) => version === null);
  return Array.from({ length: concurrentLoads }, () => {
    const [pickedEngine] = waitingEngines.splice(draw(waitingEngines.length), 1);
    return pickedEngine?.target ?? "";
  });
}
