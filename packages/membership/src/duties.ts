//! Who asks whom: duties that every entry VM works out alone, so that control
//! traffic does not grow with entry VMs times targets.
import { rendezvousOrder, type Milliseconds } from "@lovagebend/common";

const patiencePerRank: Milliseconds = 1_000;
const firstPatience: Milliseconds = 2_000;

const lastRank = 3;
const localFanOut = 3;
const remoteFanOut = 1;

/// Whether it is `self` that asks `target` for its load now. The first of the entry VMs
/// in the target's order always does; the others step in one by one when nothing has
/// been heard of the target for longer and longer. `entryVms` are the entry VMs of the
/// same data centre that are thought alive, `self` included; without them, as for a
/// target elsewhere, every entry VM steps in late.
export function isProber(
  self: string,
  target: string,
  entryVms: readonly string[],
  silence: Milliseconds,
): boolean {
  const rank = rendezvousOrder(target, entryVms).indexOf(self);
  if (rank === 0) return true;
  const place = rank === -1 ? lastRank : rank;
  return silence > firstPatience + Math.min(place, lastRank) * patiencePerRank;
}

/// The peers to exchange facts with in this round: a few of the same data centre
/// and one elsewhere, moving on with each round so that none is left out.
export function gossipPeers(
  round: number,
  local: readonly string[],
  remote: readonly string[],
): string[] {
  return [...window(round, local, localFanOut), ...window(round, remote, remoteFanOut)];
}

function window(round: number, peers: readonly string[], size: number): string[] {
  if (peers.length <= size) return [...peers];
  const start = (round * size) % peers.length;
  return [...peers, ...peers].slice(start, start + size);
}
