//! The replica of a plain service that gets a request.
import type { TargetView } from "@lovagebend/membership";
import { estimateDelay } from "./expected-delay.js";

/// The serving replica with the least expected delay, one of `preferred` data
/// centre first; `undefined` where there is none.
export function chooseService(
  replicas: readonly TargetView[],
  preferredDataCentre: string,
): TargetView | undefined {
  const local = replicas.filter((replica) => replica.dataCentre === preferredDataCentre);
  const candidates = local.length > 0 ? local : replicas;
  return candidates.reduce<TargetView | undefined>((best, replica) => {
    if (best === undefined) return replica;
    return estimateDelay(replica) < estimateDelay(best) ? replica : best;
  }, undefined);
}
