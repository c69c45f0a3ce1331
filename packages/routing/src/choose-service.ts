//! Selects the replica of a plain service that a request is sent to.
import type { TargetView } from "@lovagebend/membership";
import { estimateDelay } from "./expected-delay.js";

/// Returns the replica with the minimum expected delay. Replicas in other data centres
/// are considered only if `preferredDataCentre` has none. The caller passes only
/// `replicas` that accept new work; for an empty list the result is `undefined`.
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
