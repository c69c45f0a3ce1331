//! Selects a replica of a plain service by utilisation, data centre and recent refusals.
//! All entry VMs choose independently, so equal candidates are selected at random.
import type { Milliseconds } from "@lovagebend/common";
import type { Target } from "./observed-target.js";

// A replica in another data centre causes traffic between data centres. It is selected only
// if its utilisation, as a fraction of its slots, is lower by this amount.
const remotePenalty = 0.5;
// A replica that recently refused a request ranks below replicas that are only busy.
const refusalPenalty = 2;

/// Returns the target with the lowest utilisation that has not been tried, with a
/// preference for those in `dataCentre`; `undefined` if there is none. An entry VM has only
/// its own open requests and the load last reported by each replica, which is out of date.
/// `random` breaks ties, so that entry VMs don't all select the same replica.
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
