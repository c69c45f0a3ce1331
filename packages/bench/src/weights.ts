//! Many replicas come back at once and the weight store serves two at a time.
import { planLoads, type EngineLoadState } from "@lovagebend/orders";
import { round, type BenchResult } from "./bench-result.js";
import { drawFrom } from "./random.js";

const ranges = ["0-6", "6-12", "12-18", "18-24"];
const replicasPerRange = 5;
const loadsAtOnce = 2;
const loadSeconds = 1;
const trials = 200;
const rounding = 1e-6;

/// Compares the time until every layer range has a replica at the version.
export function benchWeights(seed: number): BenchResult {
  const draw = drawFrom(seed);
  let planned = 0;
  let plain = 0;
  for (let trial = 0; trial < trials; trial += 1) {
    planned +=
      untilCovered((engines) => planLoads(engines, "v2", loadsAtOnce).targets, draw) / trials;
    plain += untilCovered((engines) => drawWaiting(engines, draw), draw) / trials;
  }
  const best = (ranges.length / loadsAtOnce) * loadSeconds;
  return {
    bench: "weights",
    seed,
    ratio: round(best / planned),
    baselineRatio: round(best / plain),
    goal: "a whole path as soon as the store allows",
    met: planned <= best + rounding,
    figures: { plannedSeconds: round(planned), firstComeSeconds: round(plain) },
  };
}

function untilCovered(
  next: (engines: readonly EngineLoadState[]) => readonly string[],
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
    const ready = new Set(
      engines.filter(({ version }) => version === "v2").map(({ layerRange: range }) => range),
    );
    if (ready.size === ranges.length) return seconds;
    const ordered = new Set(next(engines));
    engines = engines.map((engine) =>
      ordered.has(engine.target) ? { ...engine, version: "v2" } : engine,
    );
  }
}

function drawWaiting(
  engines: readonly EngineLoadState[],
  draw: (bound: number) => number,
): string[] {
  const waiting = engines.filter(({ version }) => version === null);
  return Array.from({ length: loadsAtOnce }, () => {
    const [chosen] = waiting.splice(draw(waiting.length), 1);
    return chosen?.target ?? "";
  });
}
