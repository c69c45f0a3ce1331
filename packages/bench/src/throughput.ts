//! Throughput over mixed engines and slow links, achieved over the bound.
import { round, type BenchResult } from "./bench-result.js";
import { FleetModel, runModelAnswer, type ChoosePolicy } from "./fleet-model.js";
import { flowBound } from "./flow-bound.js";
import { drawFleet, modelLayers } from "./mixed-fleet.js";
import { leastOutstandingPolicy, productPolicy, roundRobinPolicy } from "./policies.js";
import { drawFrom } from "./random.js";

const fleetSize = 24;
const fleets = 4;
const answersAtOnce = 400;
const warmUp = 100_000;
const measured = 200_000;
const reportLag = 1_000;
const goalRatio = 0.95;

/// Runs the policies on several drawn fleets and reports the mean ratios.
export function benchThroughput(seed: number): BenchResult {
  const ratios = { product: 0, roundRobin: 0, leastOutstanding: 0 };
  let worst = 1;
  for (let index = 0; index < fleets; index += 1) {
    const targets = drawFleet(fleetSize, drawFrom(seed + index));
    const bound = flowBound(targets, modelLayers);
    const ratioOf = (policy: ChoosePolicy): number =>
      saturate(targets, policy, seed + index) / bound / fleets;
    const product = ratioOf(productPolicy(modelLayers));
    ratios.product += product;
    ratios.roundRobin += ratioOf(roundRobinPolicy(modelLayers));
    ratios.leastOutstanding += ratioOf(leastOutstandingPolicy(modelLayers));
    worst = Math.min(worst, product * fleets);
  }
  return {
    bench: "throughput",
    seed,
    ratio: round(ratios.product),
    baselineRatio: round(Math.max(ratios.roundRobin, ratios.leastOutstanding)),
    goal: `at least ${goalRatio} of the bound`,
    met: ratios.product >= goalRatio,
    figures: {
      roundRobin: round(ratios.roundRobin),
      leastOutstanding: round(ratios.leastOutstanding),
      worstFleet: round(worst),
    },
  };
}

// Tokens a second with a fixed number of answers always open.
function saturate(
  targets: ReturnType<typeof drawFleet>,
  policy: ChoosePolicy,
  seed: number,
): number {
  const draw = drawFrom(seed);
  const model = new FleetModel(targets, reportLag);
  const begin = (): void => {
    const promptTokens = 20 + draw(60);
    const path = policy(model.state, promptTokens);
    if (path === undefined) return;
    runModelAnswer(model, path, promptTokens, 50 + draw(200), () => undefined, begin);
  };
  for (let index = 0; index < answersAtOnce; index += 1) model.at(index * 5, begin);
  model.runUntil(warmUp);
  const before = model.tokensDone;
  model.runUntil(warmUp + measured);
  return ((model.tokensDone - before) * 1_000) / measured;
}
