//! Assignment of probing and gossip among entry VMs. Each entry VM derives the assignment
//! locally by rendezvous hashing or rotation, without coordination, so that control traffic
//! does not grow with the product of entry VMs and targets.
import { rankByRendezvousHash, type Milliseconds } from "@lovagebend/common";

const probeDelayPerRank: Milliseconds = 1_000;
const baseProbeDelay: Milliseconds = 2_000;

const maximumRank = 3;
const localFanOut = 3;
const remoteFanOut = 1;

/// Whether `self` should probe `target` now. The entry VM that ranks first for the target
/// always probes it; each later rank takes over after a longer time without an answer.
/// `liveEntryVms` are the live entry VMs of the target's data centre, `self` included. An
/// entry VM that is not among them, as for a target of another data centre, probes after the
/// delay of the maximum rank.
export function isProber(
  self: string,
  target: string,
  liveEntryVms: readonly string[],
  timeSinceAnswer: Milliseconds,
): boolean {
  const rank = rankByRendezvousHash(target, liveEntryVms).indexOf(self);
  if (rank === 0) return true;
  const effectiveRank = rank === -1 ? maximumRank : rank;
  return (
    timeSinceAnswer > baseProbeDelay + Math.min(effectiveRank, maximumRank) * probeDelayPerRank
  );
}

/// The peers to exchange facts with in this round: up to three of the same data centre and
/// one of another. The selection rotates with each round, so that every peer is reached.
export function gossipPeers(
  round: number,
  local: readonly string[],
  remote: readonly string[],
): string[] {
  return [
    ...rotatingWindow(round, local, localFanOut),
    ...rotatingWindow(round, remote, remoteFanOut),
  ];
}

function rotatingWindow(round: number, peers: readonly string[], size: number): string[] {
  if (peers.length <= size) return [...peers];
  const start = (round * size) % peers.length;
  return [...peers, ...peers].slice(start, start + size);
}
