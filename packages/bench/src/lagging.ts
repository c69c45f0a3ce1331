//! Benchmark of routing by prefix cache with stale information: load reports are one second
//! old, and cache events arrive late, with gaps and only at some of the entry VMs. Compares the
//! router with power of two choices and with perfect knowledge.
import { TargetState, type TargetView } from "@lovagebend/membership";
import {
  choosePath,
  computePrefixCredit,
  choosePrefixHomes,
  PrefixIndex,
  type CacheEvent,
} from "@lovagebend/routing";
import { round, type BenchResult } from "./bench-result.js";
import { FleetSimulator, type SimulatedTarget } from "./fleet-simulator.js";
import { createSeededRandom } from "./random.js";

const replicaCount = 12;
const entryVmCount = 6;
const probersPerReplica = 2;
const tokensPerSecond = 6_000;
const prefixCount = 120;
const prefixTokens = 512;
const suffixTokens = 64;
const answerTokens = 60;
const maximumCachedPrefixes = 20;
const reportIntervalMilliseconds = 1_000;
const eventDelayMilliseconds = 1_500;
const eventsPerLostEvent = 10;
const runMilliseconds = 40_000;
const loadFactor = 0.75;
const goalHitRatio = 0.9;

type PolicyName = "product" | "powerOfTwoChoices" | "perfectKnowledge";

interface Replica {
  readonly name: string;
  readonly cachedPrefixes: Set<string>;
  readonly pendingEvents: { readonly event: CacheEvent; readonly dueAt: number }[];
  openAnswers: number;
  reportedOpenAnswers: number;
  lastSequence: number;
}

/// An entry VM counts the open answers that it sent to each replica itself, now and at the time
/// of the last load report.
interface EntryVm {
  readonly prefixIndex: PrefixIndex;
  readonly ownOpenAnswers: Map<string, number>;
  readonly ownOpenAnswersAtReport: Map<string, number>;
}

interface Measurement {
  readonly p95FirstTokenMilliseconds: number;
  readonly hitRatio: number;
}

export function benchLagging(seed: number): BenchResult {
  const product = simulate("product", seed);
  const powerOfTwoChoices = simulate("powerOfTwoChoices", seed);
  const perfectKnowledge = simulate("perfectKnowledge", seed);
  const ratio = product.hitRatio / perfectKnowledge.hitRatio;
  return {
    bench: "lagging",
    seed,
    ratio: round(ratio),
    baselineRatio: round(powerOfTwoChoices.hitRatio / perfectKnowledge.hitRatio),
    goal: `prefix hits at least ${goalHitRatio} of perfect knowledge, p95 first token below random of two`,
    met:
      ratio >= goalHitRatio &&
      product.p95FirstTokenMilliseconds < powerOfTwoChoices.p95FirstTokenMilliseconds,
    figures: {
      hitShare: round(product.hitRatio),
      hitShareRandomOfTwo: round(powerOfTwoChoices.hitRatio),
      hitSharePerfect: round(perfectKnowledge.hitRatio),
      p95FirstTokenMilliseconds: round(product.p95FirstTokenMilliseconds, 0),
      p95FirstTokenRandomOfTwo: round(powerOfTwoChoices.p95FirstTokenMilliseconds, 0),
      p95FirstTokenPerfect: round(perfectKnowledge.p95FirstTokenMilliseconds, 0),
    },
  };
}

function simulate(policy: PolicyName, seed: number): Measurement {
  const draw = createSeededRandom(seed);
  const targets: SimulatedTarget[] = Array.from({ length: replicaCount }, (_, index) => ({
    name: `engine-${index}`,
    firstLayer: 0,
    endLayer: 1,
    tokensPerSecond,
    linkPerSecond: 1_000_000,
    latency: 1,
  }));
  const simulator = new FleetSimulator(targets, reportIntervalMilliseconds);
  const replicas = targets.map(({ name }): Replica => ({
    name,
    cachedPrefixes: new Set(),
    pendingEvents: [],
    openAnswers: 0,
    reportedOpenAnswers: 0,
    lastSequence: 0,
  }));
  const entryVms = Array.from({ length: entryVmCount }, (): EntryVm => ({
    prefixIndex: new PrefixIndex(),
    ownOpenAnswers: new Map(),
    ownOpenAnswersAtReport: new Map(),
  }));
  simulator.scheduleEvery(reportIntervalMilliseconds, () => {
    for (const replica of replicas) replica.reportedOpenAnswers = replica.openAnswers;
    for (const entryVm of entryVms)
      for (const [name, open] of entryVm.ownOpenAnswers)
        entryVm.ownOpenAnswersAtReport.set(name, open);
    deliverEvents(simulator.now, replicas, entryVms);
  });
  const firstTokenTimes: number[] = [];
  let hitCount = 0;
  let requestCount = 0;
  const handleArrival = (): void => {
    if (simulator.now > runMilliseconds) return;
    const entryVm = entryVms[draw(entryVmCount)] ?? entryVms[0];
    if (entryVm !== undefined)
      startRequest(entryVm, `prefix-${Math.min(draw(prefixCount), draw(prefixCount))}`);
    const meanRequestTokens = prefixTokens * 0.4 + suffixTokens + answerTokens;
    const meanInterval =
      (meanRequestTokens * 1_000) / (replicaCount * tokensPerSecond * loadFactor);
    simulator.scheduleAt(
      simulator.now - Math.log((draw(1_000_000) + 1) / 1_000_001) * meanInterval,
      handleArrival,
    );
  };
  const startRequest = (entryVm: EntryVm, prefix: string): void => {
    const startedAt = simulator.now;
    const replica = chooseReplica(policy, entryVm, replicas, prefix, draw);
    const isHit = replica.cachedPrefixes.delete(prefix);
    replica.cachedPrefixes.add(prefix);
    requestCount += 1;
    if (isHit) hitCount += 1;
    publishEvents(replica, isHit ? [] : [prefix], startedAt, draw);
    entryVm.ownOpenAnswers.set(replica.name, (entryVm.ownOpenAnswers.get(replica.name) ?? 0) + 1);
    replica.openAnswers += 1;
    const generateNextToken = (remainingTokens: number): void => {
      if (remainingTokens === 0) {
        entryVm.ownOpenAnswers.set(
          replica.name,
          (entryVm.ownOpenAnswers.get(replica.name) ?? 1) - 1,
        );
        replica.openAnswers -= 1;
        return;
      }
      simulator.runStep(replica.name, 1, () => {
        generateNextToken(remainingTokens - 1);
      });
    };
    simulator.runStep(replica.name, suffixTokens + (isHit ? 0 : prefixTokens), () => {
      firstTokenTimes.push(simulator.now - startedAt);
      generateNextToken(answerTokens);
    });
  };
  simulator.scheduleAt(0, handleArrival);
  simulator.runUntil(runMilliseconds + 5_000);
  firstTokenTimes.sort((left, right) => left - right);
  return {
    p95FirstTokenMilliseconds: firstTokenTimes[Math.floor(firstTokenTimes.length * 0.95)] ?? 0,
    hitRatio: hitCount / requestCount,
  };
}

function chooseReplica(
  policy: PolicyName,
  entryVm: EntryVm,
  replicas: readonly Replica[],
  prefix: string,
  draw: (bound: number) => number,
): Replica {
  const firstReplica = replicas[0];
  if (firstReplica === undefined) throw new Error("the fleet has no replicas");
  if (policy === "powerOfTwoChoices") {
    const [left, right] = [
      replicas[draw(replicas.length)] ?? firstReplica,
      replicas[draw(replicas.length)] ?? firstReplica,
    ];
    return left.reportedOpenAnswers <= right.reportedOpenAnswers ? left : right;
  }
  const homeReplicas = choosePrefixHomes(
    prefix,
    replicas.map((replica) => createView(replica, 0)),
  );
  const countCachedTokens = (replica: Replica): number => {
    if (policy === "perfectKnowledge") return replica.cachedPrefixes.has(prefix) ? prefixTokens : 0;
    const isKnown = entryVm.prefixIndex.cachedTokens(replica.name, [prefix]) > 0;
    return isKnown || homeReplicas.has(replica.name) ? prefixTokens : 0;
  };
  const cachedTokens = new Map(
    replicas.map((replica) => [replica.name, countCachedTokens(replica)]),
  );
  const countOpenAnswers = (replica: Replica): number => {
    if (policy === "perfectKnowledge") return replica.openAnswers;
    const ownCount = entryVm.ownOpenAnswers.get(replica.name) ?? 0;
    return Math.max(
      ownCount,
      replica.reportedOpenAnswers +
        ownCount -
        (entryVm.ownOpenAnswersAtReport.get(replica.name) ?? 0),
    );
  };
  const path = choosePath(
    replicas.map((replica) => createView(replica, countOpenAnswers(replica))),
    {
      firstLayer: 0,
      endLayer: 1,
      penalty: (target) =>
        computePrefixCredit(cachedTokens.get(target.name) ?? 0, target, answerTokens),
    },
  );
  const name = path.isOk ? path.value.targets[0]?.name : undefined;
  return replicas.find((replica) => replica.name === name) ?? firstReplica;
}

function createView({ name, reportedOpenAnswers }: Replica, openAnswers: number): TargetView {
  return {
    name,
    group: "model",
    dataCentre: "north-a",
    firstLayer: 0,
    endLayer: 1,
    tokensPerSecond,
    latency: 1,
    state: TargetState.Serving,
    load: {
      queuedTokens: 0,
      openSequences: reportedOpenAnswers,
      tokensPerSecond: 0,
      leaving: false,
    },
    reportAge: 0,
    openAnswers,
  };
}

// Queues cache events for the entry VMs that probe the replica. One event in ten is lost.
function publishEvents(
  replica: Replica,
  storedKeys: readonly string[],
  now: number,
  draw: (bound: number) => number,
): void {
  const evictedKeys = [...replica.cachedPrefixes].slice(
    0,
    Math.max(0, replica.cachedPrefixes.size - maximumCachedPrefixes),
  );
  for (const key of evictedKeys) replica.cachedPrefixes.delete(key);
  const changes = [
    ...storedKeys.map((key) => ({ kind: "stored" as const, key })),
    ...evictedKeys.map((key) => ({ kind: "evicted" as const, key })),
  ];
  for (const change of changes) {
    replica.lastSequence += 1;
    if (draw(eventsPerLostEvent) === 0) continue;
    replica.pendingEvents.push({
      event: { sequence: replica.lastSequence, ...change },
      dueAt: now + eventDelayMilliseconds,
    });
  }
}

function deliverEvents(
  now: number,
  replicas: readonly Replica[],
  entryVms: readonly EntryVm[],
): void {
  replicas.forEach((replica, replicaIndex) => {
    const dueEvents = replica.pendingEvents
      .filter(({ dueAt }) => dueAt <= now)
      .map(({ event }) => event);
    const laterEvents = replica.pendingEvents.filter(({ dueAt }) => dueAt > now);
    replica.pendingEvents.splice(0, replica.pendingEvents.length, ...laterEvents);
    entryVms.forEach((entryVm, entryVmIndex) => {
      const isProber =
        (entryVmIndex + entryVms.length - (replicaIndex % entryVms.length)) % entryVms.length <
        probersPerReplica;
      if (isProber) entryVm.prefixIndex.record(replica.name, dueEvents);
    });
  });
}
