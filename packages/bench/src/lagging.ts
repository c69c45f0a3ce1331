//! Choosing with late knowledge: load reports one second old, cache events late, with
//! gaps and only at some entry VMs. Against the better of two at random and against
//! perfect knowledge.
import { TargetState, type TargetView } from "@lovagebend/membership";
import {
  choosePath,
  computePrefixCredit,
  choosePrefixHomes,
  PrefixIndex,
  type CacheEvent,
} from "@lovagebend/routing";
import { round, type BenchResult } from "./bench-result.js";
import { FleetModel, type ModelTarget } from "./fleet-model.js";
import { drawFrom } from "./random.js";

const replicas = 12;
const entryVms = 6;
const probers = 2;
const tokensPerSecond = 6_000;
const prefixes = 120;
const prefixTokens = 512;
const suffixTokens = 64;
const answerTokens = 60;
const cachedPrefixes = 20;
const reportLag = 1_000;
const eventLag = 1_500;
const eventLoss = 10;
const runTime = 40_000;
const load = 0.75;
const goalHitShare = 0.9;

type Way = "product" | "randomOfTwo" | "perfect";

interface Replica {
  readonly name: string;
  readonly cache: Set<string>;
  readonly events: { readonly event: CacheEvent; readonly at: number }[];
  open: number;
  reportedOpen: number;
  sequence: number;
}

interface EntryVm {
  readonly index: PrefixIndex;
  readonly own: Map<string, number>;
  readonly ownAtReport: Map<string, number>;
}

interface Reading {
  readonly p95: number;
  readonly hitShare: number;
}

export function benchLagging(seed: number): BenchResult {
  const product = run("product", seed);
  const random = run("randomOfTwo", seed);
  const perfect = run("perfect", seed);
  const ratio = product.hitShare / perfect.hitShare;
  return {
    bench: "lagging",
    seed,
    ratio: round(ratio),
    baselineRatio: round(random.hitShare / perfect.hitShare),
    goal: `prefix hits at least ${goalHitShare} of perfect knowledge, p95 first token below random of two`,
    met: ratio >= goalHitShare && product.p95 < random.p95,
    figures: {
      hitShare: round(product.hitShare),
      hitShareRandomOfTwo: round(random.hitShare),
      hitSharePerfect: round(perfect.hitShare),
      p95FirstTokenMilliseconds: round(product.p95, 0),
      p95FirstTokenRandomOfTwo: round(random.p95, 0),
      p95FirstTokenPerfect: round(perfect.p95, 0),
    },
  };
}

function run(way: Way, seed: number): Reading {
  const draw = drawFrom(seed);
  const targets: ModelTarget[] = Array.from({ length: replicas }, (_, index) => ({
    name: `engine-${index}`,
    firstLayer: 0,
    endLayer: 1,
    tokensPerSecond,
    linkPerSecond: 1_000_000,
    latency: 1,
  }));
  const model = new FleetModel(targets, reportLag);
  const fleet = targets.map(({ name }): Replica => ({
    name,
    cache: new Set(),
    events: [],
    open: 0,
    reportedOpen: 0,
    sequence: 0,
  }));
  const entries = Array.from({ length: entryVms }, (): EntryVm => ({
    index: new PrefixIndex(),
    own: new Map(),
    ownAtReport: new Map(),
  }));
  model.every(reportLag, () => {
    for (const replica of fleet) replica.reportedOpen = replica.open;
    for (const entry of entries)
      for (const [name, open] of entry.own) entry.ownAtReport.set(name, open);
    deliverEvents(model.now, fleet, entries);
  });
  const firstTokens: number[] = [];
  let hits = 0;
  let asked = 0;
  const arrive = (): void => {
    if (model.now > runTime) return;
    const entry = entries[draw(entryVms)] ?? entries[0];
    if (entry !== undefined) request(entry, `prefix-${Math.min(draw(prefixes), draw(prefixes))}`);
    const cost = prefixTokens * 0.4 + suffixTokens + answerTokens;
    const pause = (cost * 1_000) / (replicas * tokensPerSecond * load);
    model.at(model.now - Math.log((draw(1_000_000) + 1) / 1_000_001) * pause, arrive);
  };
  const request = (entry: EntryVm, prefix: string): void => {
    const begin = model.now;
    const replica = choose(way, entry, fleet, prefix, draw);
    const isHit = replica.cache.delete(prefix);
    replica.cache.add(prefix);
    asked += 1;
    if (isHit) hits += 1;
    publish(replica, isHit ? [] : [prefix], begin, draw);
    entry.own.set(replica.name, (entry.own.get(replica.name) ?? 0) + 1);
    replica.open += 1;
    const step = (left: number): void => {
      if (left === 0) {
        entry.own.set(replica.name, (entry.own.get(replica.name) ?? 1) - 1);
        replica.open -= 1;
        return;
      }
      model.step(replica.name, 1, () => {
        step(left - 1);
      });
    };
    model.step(replica.name, suffixTokens + (isHit ? 0 : prefixTokens), () => {
      firstTokens.push(model.now - begin);
      step(answerTokens);
    });
  };
  model.at(0, arrive);
  model.runUntil(runTime + 5_000);
  firstTokens.sort((left, right) => left - right);
  return { p95: firstTokens[Math.floor(firstTokens.length * 0.95)] ?? 0, hitShare: hits / asked };
}

function choose(
  way: Way,
  entry: EntryVm,
  fleet: readonly Replica[],
  prefix: string,
  draw: (bound: number) => number,
): Replica {
  const first = fleet[0];
  if (first === undefined) throw new Error("no replicas");
  if (way === "randomOfTwo") {
    const [left, right] = [fleet[draw(fleet.length)] ?? first, fleet[draw(fleet.length)] ?? first];
    return left.reportedOpen <= right.reportedOpen ? left : right;
  }
  const homes = choosePrefixHomes(
    prefix,
    fleet.map((replica) => viewOf(replica, 0)),
  );
  const cachedAt = (replica: Replica): number => {
    if (way === "perfect") return replica.cache.has(prefix) ? prefixTokens : 0;
    const isKnown = entry.index.cachedTokens(replica.name, [prefix]) > 0;
    return isKnown || homes.has(replica.name) ? prefixTokens : 0;
  };
  const cachedTokens = new Map(fleet.map((replica) => [replica.name, cachedAt(replica)]));
  const openOf = (replica: Replica): number => {
    if (way === "perfect") return replica.open;
    const own = entry.own.get(replica.name) ?? 0;
    return Math.max(own, replica.reportedOpen + own - (entry.ownAtReport.get(replica.name) ?? 0));
  };
  const path = choosePath(
    fleet.map((replica) => viewOf(replica, openOf(replica))),
    {
      firstLayer: 0,
      endLayer: 1,
      penalty: (target) =>
        computePrefixCredit(cachedTokens.get(target.name) ?? 0, target, answerTokens),
    },
  );
  const name = path.isOk ? path.value.targets[0]?.name : undefined;
  return fleet.find((replica) => replica.name === name) ?? first;
}

function viewOf({ name, reportedOpen }: Replica, openAnswers: number): TargetView {
  return {
    name,
    group: "model",
    dataCentre: "north-a",
    firstLayer: 0,
    endLayer: 1,
    tokensPerSecond,
    latency: 1,
    state: TargetState.Serving,
    load: { queuedTokens: 0, openSequences: reportedOpen, tokensPerSecond: 0, leaving: false },
    reportAge: 0,
    openAnswers,
  };
}

// Events reach the entry VMs whose duty the replica is; one in ten is lost.
function publish(
  replica: Replica,
  stored: readonly string[],
  now: number,
  draw: (bound: number) => number,
): void {
  const evicted = [...replica.cache].slice(0, Math.max(0, replica.cache.size - cachedPrefixes));
  for (const key of evicted) replica.cache.delete(key);
  const all = [
    ...stored.map((key) => ({ kind: "stored" as const, key })),
    ...evicted.map((key) => ({ kind: "evicted" as const, key })),
  ];
  for (const item of all) {
    replica.sequence += 1;
    if (draw(eventLoss) === 0) continue;
    replica.events.push({ event: { sequence: replica.sequence, ...item }, at: now + eventLag });
  }
}

function deliverEvents(now: number, fleet: readonly Replica[], entries: readonly EntryVm[]): void {
  fleet.forEach((replica, place) => {
    const due = replica.events.filter(({ at }) => at <= now).map(({ event }) => event);
    const later = replica.events.filter(({ at }) => at > now);
    replica.events.splice(0, replica.events.length, ...later);
    entries.forEach((entry, index) => {
      const isDuty = (index + entries.length - (place % entries.length)) % entries.length < probers;
      if (isDuty) entry.index.record(replica.name, due);
    });
  });
}
