//! The replica of a plain service that gets a request.
import type { TargetView } from "@lovagebend/membership";
import { expectedDelay } from "./expected-delay.js";

/// The serving replica with the least expected delay, one of `preferred` data
/// centre first; `undefined` where there is none.
export function chooseService(
  replicas: readonly TargetView[],
  preferred: string,
): TargetView | undefined {
  const local = replicas.filter((replica) => replica.dataCentre === preferred);
  const among = local.length > 0 ? local : replicas;
  return among.reduce<TargetView | undefined>((best, replica) => {
    if (best === undefined) return replica;
    return expectedDelay(replica) < expectedDelay(best) ? replica : best;
  }, undefined);
}
