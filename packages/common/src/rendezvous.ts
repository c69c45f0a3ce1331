//! Rendezvous hashing: every node orders the same candidates for a key in the
//! same way, without talking to the others.
import { createHash } from "node:crypto";

/// Returns `candidates` ordered by their weight for `key`, the first being the
/// one in charge. Removing a candidate does not change the order of the rest.
export function rendezvousOrder(key: string, candidates: readonly string[]): string[] {
  const weighted = candidates.map((candidate) => ({
    candidate,
    weight: createHash("sha1").update(`${key}\u0000${candidate}`).digest("hex"),
  }));
  weighted.sort((left, right) => (left.weight < right.weight ? 1 : -1));
  return weighted.map((item) => item.candidate);
}
