//! Benchmark of workspace shares over six entry VMs that learn each other's demand with a
//! delay. Compares the granted rates with weighted max-min fairness.
import { DemandMeter, allocateCapacity, type WorkspaceDemand } from "@lovagebend/limits";
import { round, type BenchResult } from "./bench-result.js";

const entryVms = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"];
const workspaceWeights = new Map([
  ["large", 4],
  ["middle", 2],
  ["small", 1],
]);
const capacity = 7_000;
const tickMilliseconds = 500;
const gossipDelayTicks = 2;
const phaseTicks = 30;
const settlingTicks = 10;
const deviationTolerance = 0.05;

/// Returns the demand of a workspace at an entry VM in a phase, in tokens a second: the large
/// workspace sends to all entry VMs, the middle one to two and the small one to one. In the
/// second phase the large one is idle, so that its share is lent out.
function computeDemand(workspace: string, entryVm: number, phase: number): number {
  if (workspace === "large") return phase === 1 ? 0 : 1_500;
  if (workspace === "middle") return entryVm < 2 ? 2_500 : 0;
  return entryVm === 5 ? 3_000 : 0;
}

export function benchShares(seed: number): BenchResult {
  const product = simulate(true);
  const baseline = simulate(false);
  return {
    bench: "shares",
    seed,
    ratio: round(1 - product.maximumDeviation),
    baselineRatio: round(1 - baseline.maximumDeviation),
    goal: "deviation within 5% when all are busy; lent out and taken back within 2 s",
    met:
      product.maximumDeviation <= deviationTolerance &&
      product.lentAfterMilliseconds <= 2_000 &&
      product.reclaimedAfterMilliseconds <= 2_000,
    figures: {
      deviation: round(product.maximumDeviation),
      deviationPlain: round(baseline.maximumDeviation),
      lentAfterMilliseconds: product.lentAfterMilliseconds,
      takenBackAfterMilliseconds: product.reclaimedAfterMilliseconds,
    },
  };
}

function simulate(usesShares: boolean): {
  maximumDeviation: number;
  lentAfterMilliseconds: number;
  reclaimedAfterMilliseconds: number;
} {
  const meters = entryVms.map(() => new DemandMeter(0));
  const demandHistory: WorkspaceDemand[][] = [];
  let maximumDeviation = 0;
  const settledAfterMilliseconds = [0, 0, 0];
  for (let tickIndex = 0; tickIndex < phaseTicks * 3; tickIndex += 1) {
    const phase = Math.floor(tickIndex / phaseTicks);
    const now = (tickIndex + 1) * tickMilliseconds;
    demandHistory.push(measureDemands(meters, phase, now));
    const delayedDemands =
      demandHistory[Math.max(0, demandHistory.length - 1 - gossipDelayTicks)] ?? [];
    const currentDemands = demandHistory.at(-1) ?? [];
    const grantedRates = new Map<string, number>();
    entryVms.forEach((self, index) => {
      // An entry VM has its own current demand, but receives that of the others with a delay.
      const demands = [
        ...delayedDemands.filter(({ entryVm }) => entryVm !== self),
        ...currentDemands.filter(({ entryVm }) => entryVm === self),
      ];
      const allowedRates = usesShares
        ? allocateCapacity(self, demands, workspaceWeights, capacity)
        : splitEvenly(currentDemands, self);
      for (const [workspace, rate] of allowedRates) {
        const grantedRate = Math.min(rate, computeDemand(workspace, index, phase));
        grantedRates.set(workspace, (grantedRates.get(workspace) ?? 0) + grantedRate);
      }
    });
    const deviation = computeMaximumDeviation(grantedRates, phase);
    const tickInPhase = tickIndex % phaseTicks;
    if (tickInPhase >= settlingTicks && phase !== 1)
      maximumDeviation = Math.max(maximumDeviation, deviation);
    if (deviation > deviationTolerance)
      settledAfterMilliseconds[phase] = (tickInPhase + 1) * tickMilliseconds;
  }
  return {
    maximumDeviation,
    lentAfterMilliseconds: settledAfterMilliseconds[1] ?? 0,
    reclaimedAfterMilliseconds: settledAfterMilliseconds[2] ?? 0,
  };
}

function measureDemands(
  meters: readonly DemandMeter[],
  phase: number,
  now: number,
): WorkspaceDemand[] {
  return meters.flatMap((meter, index) => {
    for (const workspace of workspaceWeights.keys()) {
      meter.recordRequest(
        workspace,
        (computeDemand(workspace, index, phase) * tickMilliseconds) / 1_000,
      );
    }
    const entryVm = entryVms[index] ?? "";
    return [...meter.updateRates(now)].map(([workspace, tokensPerSecond]) => ({
      workspace,
      entryVm,
      tokensPerSecond,
    }));
  });
}

// The baseline: each entry VM divides a fixed sixth of the capacity among its own demands.
function splitEvenly(
  demands: readonly WorkspaceDemand[],
  self: string,
): ReadonlyMap<string, number> {
  const ownDemands = demands.filter(({ entryVm }) => entryVm === self);
  return allocateCapacity(self, ownDemands, workspaceWeights, capacity / entryVms.length);
}

// Returns the maximum relative deviation of the granted rates from the fair rates.
function computeMaximumDeviation(grantedRates: ReadonlyMap<string, number>, phase: number): number {
  const fairRates = computeFairRates(phase);
  const deviations = [...fairRates].map(([workspace, fairRate]) =>
    fairRate === 0 ? 0 : Math.abs((grantedRates.get(workspace) ?? 0) - fairRate) / fairRate,
  );
  return Math.max(...deviations);
}

// Computes the fair rates from all current demands by progressive filling: each increment goes
// to the unsatisfied workspace with the lowest rate per weight. It shares no code with the
// product.
function computeFairRates(phase: number): Map<string, number> {
  const demands = new Map(
    [...workspaceWeights.keys()].map((workspace) => [
      workspace,
      entryVms.reduce((sum, _, index) => sum + computeDemand(workspace, index, phase), 0),
    ]),
  );
  const rates = new Map([...workspaceWeights.keys()].map((workspace) => [workspace, 0]));
  const increment = 1;
  for (let remaining = capacity; remaining > 0; remaining -= increment) {
    const unsatisfied = [...workspaceWeights].filter(
      ([workspace]) => (rates.get(workspace) ?? 0) < (demands.get(workspace) ?? 0),
    );
    if (unsatisfied.length === 0) break;
    const computeNormalizedRate = ([workspace, weight]: readonly [string, number]): number =>
      (rates.get(workspace) ?? 0) / weight;
    const nextWorkspace = unsatisfied.reduce((lowest, item) =>
      computeNormalizedRate(item) < computeNormalizedRate(lowest) ? item : lowest,
    );
    rates.set(nextWorkspace[0], (rates.get(nextWorkspace[0]) ?? 0) + increment);
  }
  return rates;
}
