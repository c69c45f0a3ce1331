//! Benchmark of overload on a simulated fleet at one, two and five times its maximum flow.
//! Measures goodput, the age of the admission queue and the time until refusals end after the
//! overload. The baseline has no admission control.
import { AdmissionQueue, adjustCapacity, Priority } from "@lovagebend/limits";
import { round, type BenchResult } from "./bench-result.js";
import { FleetSimulator, simulateAnswer, type SimulatedTarget } from "./fleet-simulator.js";
import { computeMaximumFlow } from "./maximum-flow.js";
import { generateFleet, layerCount } from "./mixed-fleet.js";
import { productPolicy } from "./policies.js";
import { createSeededRandom } from "./random.js";

const fleetSize = 12;
const rateFactor = 10;
const loadFactors = [1, 2, 5];
const loadMilliseconds = 40_000;
const warmUpMilliseconds = 15_000;
const recoveryMilliseconds = 15_000;
const recoveryLoadFactor = 0.5;
const deadlineMilliseconds = 30_000;
const maximumWaitMilliseconds = 2_000;
const desiredTokenIntervalMilliseconds = 80;
const adaptationIntervalMilliseconds = 500;
const initialCapacitySeconds = 8;
const minimumCapacitySeconds = 0.5;
const meanTokens = 200;
const refusalsPerRetry = 2;
const goalRatio = 0.9;

/// Ages and times are in milliseconds.
interface Measurement {
  readonly goodputRatio: number;
  readonly maximumQueueAge: number;
  readonly immediateRefusalRatio: number;
  readonly recoveredAfter: number;
}

export async function benchOverload(seed: number): Promise<BenchResult> {
  const targets = generateFleet(fleetSize, createSeededRandom(seed), rateFactor);
  const maximumFlow = computeMaximumFlow(targets, layerCount);
  const figures: Record<string, number> = { boundTokensPerSecond: round(maximumFlow, 0) };
  let ratio = 1;
  let baselineRatio = 1;
  for (const loadFactor of loadFactors) {
    const product = await simulate(targets, maximumFlow, loadFactor, seed, true);
    const baseline = await simulate(targets, maximumFlow, loadFactor, seed, false);
    ratio = Math.min(ratio, product.goodputRatio);
    baselineRatio = Math.min(baselineRatio, baseline.goodputRatio);
    figures[`usefulAt${loadFactor}`] = round(product.goodputRatio);
    figures[`usefulAt${loadFactor}Plain`] = round(baseline.goodputRatio);
    figures[`longestQueueAgeAt${loadFactor}`] = round(product.maximumQueueAge, 0);
    figures[`refusedAtOnceAt${loadFactor}`] = round(product.immediateRefusalRatio);
    figures[`calmAfterMillisecondsAt${loadFactor}`] = round(product.recoveredAfter, 0);
  }
  return {
    bench: "overload",
    seed,
    ratio: round(ratio),
    baselineRatio: round(baselineRatio),
    goal: `useful answers above ${goalRatio} of the bound, queue age within ${maximumWaitMilliseconds} ms`,
    met: ratio >= goalRatio,
    figures,
  };
}

// Goodput counts the tokens of answers that end within their deadline while the load lasts,
// relative to the maximum flow. Half of the refused callers retry after one second.
async function simulate(
  targets: readonly SimulatedTarget[],
  maximumFlow: number,
  loadFactor: number,
  seed: number,
  usesAdmission: boolean,
): Promise<Measurement> {
  const draw = createSeededRandom(seed + loadFactor);
  const simulator = new FleetSimulator(targets, 1_000);
  const policy = productPolicy(layerCount);
  const capacity = maximumFlow * initialCapacitySeconds;
  const queue = new AdmissionQueue(simulator.clock, capacity, maximumWaitMilliseconds, () => 1);
  const meter = { tokens: 0, totalInterval: 0, capacity };
  const totals = {
    usefulTokens: 0,
    refusals: 0,
    immediateRefusals: 0,
    maximumQueueAge: 0,
    lastRefusalAt: 0,
  };
  const loadEnd = warmUpMilliseconds + loadMilliseconds;
  if (usesAdmission)
    simulator.scheduleEvery(adaptationIntervalMilliseconds, () => {
      adaptCapacity(simulator, queue, meter, maximumFlow, totals);
    });

  const sendRequest = async (): Promise<void> => {
    const promptTokens = 20 + draw(60);
    const maximumTokens = 50 + draw(200);
    const requestedAt = simulator.now;
    const neverAborted = new AbortController().signal;
    const admissionRequest = {
      workspace: `w-${draw(10)}`,
      priority: Priority.Interactive,
      cost: promptTokens + maximumTokens,
      deadline: requestedAt + deadlineMilliseconds,
    };
    const admission = usesAdmission ? await queue.admit(admissionRequest, neverAborted) : undefined;
    if (admission?.isErr === true) {
      totals.refusals += 1;
      if (simulator.now - requestedAt <= 10) totals.immediateRefusals += 1;
      if (simulator.now > loadEnd) totals.lastRefusalAt = simulator.now;
      if (draw(refusalsPerRetry) === 0)
        simulator.scheduleAt(simulator.now + 1_000, () => void sendRequest());
      return;
    }
    const path = policy(simulator.state, promptTokens);
    if (path === undefined) return;
    let lastTokenAt = simulator.now;
    const onToken = (count: number): void => {
      if (count > 1) {
        meter.tokens += 1;
        meter.totalInterval += simulator.now - lastTokenAt;
      }
      lastTokenAt = simulator.now;
    };
    simulateAnswer(simulator, path, promptTokens, maximumTokens, onToken, () => {
      if (admission?.isOk === true) admission.value.release();
      const isInTime = simulator.now - requestedAt <= deadlineMilliseconds;
      if (isInTime && simulator.now > warmUpMilliseconds && simulator.now <= loadEnd)
        totals.usefulTokens += promptTokens + maximumTokens - 1;
    });
  };
  const handleArrival = (): void => {
    if (simulator.now > loadEnd + recoveryMilliseconds) return;
    void sendRequest();
    const currentLoadFactor = simulator.now > loadEnd ? recoveryLoadFactor : loadFactor;
    const meanInterval = (meanTokens * 1_000) / (maximumFlow * currentLoadFactor);
    simulator.scheduleAt(
      simulator.now - Math.log((draw(1_000_000) + 1) / 1_000_001) * meanInterval,
      handleArrival,
    );
  };
  simulator.scheduleAt(0, handleArrival);
  await simulator.runUntilSettled(loadEnd + recoveryMilliseconds);
  return {
    goodputRatio: (totals.usefulTokens * 1_000) / loadMilliseconds / maximumFlow,
    maximumQueueAge: totals.maximumQueueAge,
    immediateRefusalRatio: totals.refusals === 0 ? 1 : totals.immediateRefusals / totals.refusals,
    recoveredAfter: Math.max(0, totals.lastRefusalAt - loadEnd),
  };
}

function adaptCapacity(
  simulator: FleetSimulator,
  queue: AdmissionQueue,
  meter: { tokens: number; totalInterval: number; capacity: number },
  maximumFlow: number,
  totals: { maximumQueueAge: number },
): void {
  meter.capacity = adjustCapacity({
    tokenInterval: meter.tokens === 0 ? undefined : meter.totalInterval / meter.tokens,
    desiredTokenInterval: desiredTokenIntervalMilliseconds,
    hasWaitingRequests: queue.status.length > 0,
    capacity: meter.capacity,
    minimumCapacity: maximumFlow * minimumCapacitySeconds,
  });
  meter.tokens = 0;
  meter.totalInterval = 0;
  queue.configure(meter.capacity, maximumWaitMilliseconds, () => 1);
  totals.maximumQueueAge = Math.max(totals.maximumQueueAge, queue.status.age);
}
