//! Benchmark of saturated throughput on simulated heterogeneous fleets with slow links: the
//! share of the maximum flow that each routing policy achieves.
import { round, type BenchResult } from "./bench-result.js";
import { FleetSimulator, simulateAnswer, type PathPolicy } from "./fleet-simulator.js";
import { computeMaximumFlow } from "./maximum-flow.js";
import { generateFleet, layerCount } from "./mixed-fleet.js";
import { leastOutstandingPolicy, productPolicy, roundRobinPolicy } from "./policies.js";
import { createSeededRandom } from "./random.js";

const fleetSize = 24;
const fleetCount = 4;
const concurrentAnswers = 400;
const warmUpMilliseconds = 100_000;
const measuredMilliseconds = 200_000;
const reportIntervalMilliseconds = 1_000;
const goalRatio = 0.95;

/// Runs each policy on several random fleets and reports the mean ratios.
export function benchThroughput(seed: number): BenchResult {
  const ratios = { product: 0, roundRobin: 0, leastOutstanding: 0 };
  let minimumRatio = 1;
  for (let index = 0; index < fleetCount; index += 1) {
    const targets = generateFleet(fleetSize, createSeededRandom(seed + index));
    const maximumFlow = computeMaximumFlow(targets, layerCount);
    const measureRatio = (policy: PathPolicy): number =>
      measureSaturatedThroughput(targets, policy, seed + index) / maximumFlow / fleetCount;
    const product = measureRatio(productPolicy(layerCount));
    ratios.product += product;
    ratios.roundRobin += measureRatio(roundRobinPolicy(layerCount));
    ratios.leastOutstanding += measureRatio(leastOutstandingPolicy(layerCount));
    minimumRatio = Math.min(minimumRatio, product * fleetCount);
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
      worstFleet: round(minimumRatio),
    },
  };
}

// Returns the tokens a second with a constant number of open answers (a closed loop).
function measureSaturatedThroughput(
  targets: ReturnType<typeof generateFleet>,
  policy: PathPolicy,
  seed: number,
): number {
  const draw = createSeededRandom(seed);
  const simulator = new FleetSimulator(targets, reportIntervalMilliseconds);
  const startAnswer = (): void => {
    const promptTokens = 20 + draw(60);
    const path = policy(simulator.state, promptTokens);
    if (path === undefined) return;
    simulateAnswer(simulator, path, promptTokens, 50 + draw(200), () => undefined, startAnswer);
  };
  for (let index = 0; index < concurrentAnswers; index += 1)
    simulator.scheduleAt(index * 5, startAnswer);
  simulator.runUntil(warmUpMilliseconds);
  const completedBefore = simulator.completedTokens;
  simulator.runUntil(warmUpMilliseconds + measuredMilliseconds);
  return ((simulator.completedTokens - completedBefore) * 1_000) / measuredMilliseconds;
}
