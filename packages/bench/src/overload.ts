//! Overload at one, two and five times the bound: useful answers, the queue's age, and
//! how soon things are normal again.
import { AdmissionQueue, adjustCapacity, Priority } from "@lovagebend/limits";
import { round, type BenchResult } from "./bench-result.js";
import { FleetModel, runModelAnswer, type ModelTarget } from "./fleet-model.js";
import { flowBound } from "./flow-bound.js";
import { drawFleet, modelLayers } from "./mixed-fleet.js";
import { productPolicy } from "./policies.js";
import { drawFrom } from "./random.js";

const fleetSize = 12;
const scale = 10;
const loads = [1, 2, 5];
const loadTime = 40_000;
const warmUp = 15_000;
const calmTime = 15_000;
const calmLoad = 0.5;
const deadline = 30_000;
const longestWait = 2_000;
const wantedInterval = 80;
const adaptPause = 500;
const startSeconds = 8;
const floorSeconds = 0.5;
const meanTokens = 200;
const retryShare = 2;
const goalRatio = 0.9;

interface Reading {
  readonly useful: number;
  readonly longestAge: number;
  readonly refusedAtOnce: number;
  readonly calmAfter: number;
}

export async function benchOverload(seed: number): Promise<BenchResult> {
  const targets = drawFleet(fleetSize, drawFrom(seed), scale);
  const bound = flowBound(targets, modelLayers);
  const figures: Record<string, number> = { boundTokensPerSecond: round(bound, 0) };
  let ratio = 1;
  let baselineRatio = 1;
  for (const load of loads) {
    const product = await run(targets, bound, load, seed, true);
    const plain = await run(targets, bound, load, seed, false);
    ratio = Math.min(ratio, product.useful);
    baselineRatio = Math.min(baselineRatio, plain.useful);
    figures[`usefulAt${load}`] = round(product.useful);
    figures[`usefulAt${load}Plain`] = round(plain.useful);
    figures[`longestQueueAgeAt${load}`] = round(product.longestAge, 0);
    figures[`refusedAtOnceAt${load}`] = round(product.refusedAtOnce);
    figures[`calmAfterMillisecondsAt${load}`] = round(product.calmAfter, 0);
  }
  return {
    bench: "overload",
    seed,
    ratio: round(ratio),
    baselineRatio: round(baselineRatio),
    goal: `useful answers above ${goalRatio} of the bound, queue age within ${longestWait} ms`,
    met: ratio >= goalRatio,
    figures,
  };
}

// Tokens of answers that ended within their deadline, over the bound, while the load is
// on. Half of the refused callers ask again a second later.
async function run(
  targets: readonly ModelTarget[],
  bound: number,
  load: number,
  seed: number,
  admits: boolean,
): Promise<Reading> {
  const draw = drawFrom(seed + load);
  const model = new FleetModel(targets, 1_000);
  const policy = productPolicy(modelLayers);
  const capacity = bound * startSeconds;
  const queue = new AdmissionQueue(model.clock, capacity, longestWait, () => 1);
  const meter = { tokens: 0, interval: 0, capacity };
  const counts = { useful: 0, refused: 0, atOnce: 0, longestAge: 0, lastTrouble: 0 };
  const endOfLoad = warmUp + loadTime;
  if (admits)
    model.every(adaptPause, () => {
      adapt(model, queue, meter, bound, counts);
    });

  const request = async (): Promise<void> => {
    const promptTokens = 20 + draw(60);
    const mostTokens = 50 + draw(200);
    const askedAt = model.now;
    const never = new AbortController().signal;
    const wanted = {
      workspace: `w-${draw(10)}`,
      priority: Priority.Interactive,
      cost: promptTokens + mostTokens,
      deadline: askedAt + deadline,
    };
    const admission = admits ? await queue.admit(wanted, never) : undefined;
    if (admission?.isErr === true) {
      counts.refused += 1;
      if (model.now - askedAt <= 10) counts.atOnce += 1;
      if (model.now > endOfLoad) counts.lastTrouble = model.now;
      if (draw(retryShare) === 0) model.at(model.now + 1_000, () => void request());
      return;
    }
    const path = policy(model.state, promptTokens);
    if (path === undefined) return;
    let last = model.now;
    const onToken = (count: number): void => {
      if (count > 1) {
        meter.tokens += 1;
        meter.interval += model.now - last;
      }
      last = model.now;
    };
    runModelAnswer(model, path, promptTokens, mostTokens, onToken, () => {
      if (admission?.isOk === true) admission.value.release();
      const inTime = model.now - askedAt <= deadline;
      if (inTime && model.now > warmUp && model.now <= endOfLoad)
        counts.useful += promptTokens + mostTokens - 1;
    });
  };
  const arrive = (): void => {
    if (model.now > endOfLoad + calmTime) return;
    void request();
    const share = model.now > endOfLoad ? calmLoad : load;
    const pause = (meanTokens * 1_000) / (bound * share);
    model.at(model.now - Math.log((draw(1_000_000) + 1) / 1_000_001) * pause, arrive);
  };
  model.at(0, arrive);
  await model.runUntilSettled(endOfLoad + calmTime);
  return {
    useful: (counts.useful * 1_000) / loadTime / bound,
    longestAge: counts.longestAge,
    refusedAtOnce: counts.refused === 0 ? 1 : counts.atOnce / counts.refused,
    calmAfter: Math.max(0, counts.lastTrouble - endOfLoad),
  };
}

function adapt(
  model: FleetModel,
  queue: AdmissionQueue,
  meter: { tokens: number; interval: number; capacity: number },
  bound: number,
  counts: { longestAge: number },
): void {
  meter.capacity = adjustCapacity({
    tokenInterval: meter.tokens === 0 ? undefined : meter.interval / meter.tokens,
    desiredTokenInterval: wantedInterval,
    hasWaitingRequests: queue.status.length > 0,
    capacity: meter.capacity,
    minimumCapacity: bound * floorSeconds,
  });
  meter.tokens = 0;
  meter.interval = 0;
  queue.configure(meter.capacity, longestWait, () => 1);
  counts.longestAge = Math.max(counts.longestAge, queue.status.age);
}
