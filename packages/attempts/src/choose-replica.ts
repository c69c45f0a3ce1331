//! The choice of a replica of a plain service.
import type { Milliseconds } from "@lovagebend/common";
import type { Target } from "./target-book.js";

// A replica in another data centre costs traffic between them: it is taken only when it
// is this much emptier, as a part of its slots.
const remotePenalty = 0.5;
// A replica that has just refused comes after those that are merely busy.
const refusalPenalty = 2;

/// The emptiest of `targets` that has not been tried, those of `dataCentre` first. Each
/// entry VM knows its own requests and the load that replicas told it, which is old, so
/// equals are drawn by lot rather than taken in one order by all.
export function chooseReplica(
  targets: readonly Target[],
  triedTargets: ReadonlySet<string>,
  dataCentre: string,
  now: Milliseconds,
  random: () => number = Math.random,
): Target | undefined {
  let best: Target | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    if (triedTargets.has(target.name)) continue;
    const utilisation = Math.max(target.openRequests / Math.max(1, target.slots), target.load);
    const appliedRemotePenalty = target.dataCentre === dataCentre ? 0 : remotePenalty;
    const appliedRefusalPenalty = target.refusingUntil > now ? refusalPenalty : 0;
    const cost = utilisation + appliedRemotePenalty + appliedRefusalPenalty + random() / 100;
    if (cost >= bestCost) continue;
    best = target;
    bestCost = cost;
  }
  return best;
}
