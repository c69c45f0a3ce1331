//! Workspace shares over six entry VMs that know each other's demand late.
import { DemandMeter, allocateCapacity, type WorkspaceDemand } from "@lovagebend/limits";
import { round, type BenchResult } from "./bench-result.js";

const entryVms = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"];
const weights = new Map([
  ["large", 4],
  ["middle", 2],
  ["small", 1],
]);
const capacity = 7_000;
const tick = 500;
const gossipTicks = 2;
const phaseTicks = 30;
const settledTicks = 10;
const within = 0.05;

/// What each workspace asks for at each entry VM in a phase: the large one at all, the
/// middle one at two, the small one at one; in the second phase the large one rests.
function demandOf(workspace: string, entryVm: number, phase: number): number {
  if (workspace === "large") return phase === 1 ? 0 : 1_500;
  if (workspace === "middle") return entryVm < 2 ? 2_500 : 0;
  return entryVm === 5 ? 3_000 : 0;
}

export function benchShares(seed: number): BenchResult {
  const product = run(true);
  const plain = run(false);
  return {
    bench: "shares",
    seed,
    ratio: round(1 - product.deviation),
    baselineRatio: round(1 - plain.deviation),
    goal: "deviation within 5% when all are busy; lent out and taken back within 2 s",
    met:
      product.deviation <= within && product.lentAfter <= 2_000 && product.takenBackAfter <= 2_000,
    figures: {
      deviation: round(product.deviation),
      deviationPlain: round(plain.deviation),
      lentAfterMilliseconds: product.lentAfter,
      takenBackAfterMilliseconds: product.takenBackAfter,
    },
  };
}

function run(shares: boolean): { deviation: number; lentAfter: number; takenBackAfter: number } {
  const meters = entryVms.map(() => new DemandMeter(0));
  const told: WorkspaceDemand[][] = [];
  let deviation = 0;
  const settledAt = [0, 0, 0];
  for (let step = 0; step < phaseTicks * 3; step += 1) {
    const phase = Math.floor(step / phaseTicks);
    const now = (step + 1) * tick;
    told.push(measure(meters, phase, now));
    const known = told[Math.max(0, told.length - 1 - gossipTicks)] ?? [];
    const current = told.at(-1) ?? [];
    const used = new Map<string, number>();
    entryVms.forEach((self, index) => {
      // Each entry VM knows its own demand now, that of the others late.
      const demands = [
        ...known.filter(({ entryVm }) => entryVm !== self),
        ...current.filter(({ entryVm }) => entryVm === self),
      ];
      const allowed = shares
        ? allocateCapacity(self, demands, weights, capacity)
        : splitEvenly(current, self);
      for (const [workspace, rate] of allowed) {
        const granted = Math.min(rate, demandOf(workspace, index, phase));
        used.set(workspace, (used.get(workspace) ?? 0) + granted);
      }
    });
    const off = worstDeviation(used, phase);
    const inPhase = step % phaseTicks;
    if (inPhase >= settledTicks && phase !== 1) deviation = Math.max(deviation, off);
    if (off > within) settledAt[phase] = (inPhase + 1) * tick;
  }
  return { deviation, lentAfter: settledAt[1] ?? 0, takenBackAfter: settledAt[2] ?? 0 };
}

function measure(meters: readonly DemandMeter[], phase: number, now: number): WorkspaceDemand[] {
  return meters.flatMap((meter, index) => {
    for (const workspace of weights.keys()) {
      meter.recordRequest(workspace, (demandOf(workspace, index, phase) * tick) / 1_000);
    }
    const entryVm = entryVms[index] ?? "";
    return [...meter.updateRates(now)].map(([workspace, tokensPerSecond]) => ({
      workspace,
      entryVm,
      tokensPerSecond,
    }));
  });
}

// The plain way: each entry VM has a sixth of the capacity and divides it alone.
function splitEvenly(
  demands: readonly WorkspaceDemand[],
  self: string,
): ReadonlyMap<string, number> {
  const own = demands.filter(({ entryVm }) => entryVm === self);
  return allocateCapacity(self, own, weights, capacity / entryVms.length);
}

// Against what is right with full knowledge, worked out by filling up step by step.
function worstDeviation(used: ReadonlyMap<string, number>, phase: number): number {
  const right = fillUp(phase);
  const offs = [...right].map(([workspace, wanted]) =>
    wanted === 0 ? 0 : Math.abs((used.get(workspace) ?? 0) - wanted) / wanted,
  );
  return Math.max(...offs);
}

function fillUp(phase: number): Map<string, number> {
  const wanted = new Map(
    [...weights.keys()].map((workspace) => [
      workspace,
      entryVms.reduce((sum, _, index) => sum + demandOf(workspace, index, phase), 0),
    ]),
  );
  const given = new Map([...weights.keys()].map((workspace) => [workspace, 0]));
  const drop = 1;
  for (let left = capacity; left > 0; left -= drop) {
    const hungry = [...weights].filter(
      ([workspace]) => (given.get(workspace) ?? 0) < (wanted.get(workspace) ?? 0),
    );
    if (hungry.length === 0) break;
    const level = ([workspace, weight]: readonly [string, number]): number =>
      (given.get(workspace) ?? 0) / weight;
    const next = hungry.reduce((best, item) => (level(item) < level(best) ? item : best));
    given.set(next[0], (given.get(next[0]) ?? 0) + drop);
  }
  return given;
}
