//! Rendezvous hashing (highest random weight): all nodes rank the same candidates for
//! a key in the same order without coordination.
import { createHash } from "node:crypto";

/// Returns `candidates` in descending order of their weight for `key`; the first is
/// responsible for it. Removing a candidate does not change the order of the others.
export function rankByRendezvousHash(key: string, candidates: readonly string[]): string[] {
  const weightedCandidates = candidates.map((candidate) => ({
    candidate,
    weight: createHash("sha1").update(`${key}\u0000${candidate}`).digest("hex"),
  }));
  weightedCandidates.sort((left, right) => (left.weight < right.weight ? 1 : -1));
  return weightedCandidates.map((item) => item.candidate);
}
