//! Who asks whom: duties that every entry VM works out alone, so that control
//! traffic does not grow with entry VMs times targets.
import { rendezvousOrder } from "@lovagebend/common";

/// How many entry VMs of a data centre ask each target for its load.
export const probersPerTarget = 2;

const localFanOut = 3;
const remoteFanOut = 1;

/// Whether `self` is one of those who ask `target`. `entryVms` are the entry VMs
/// of the same data centre that are thought alive, `self` included.
export function isProber(self: string, target: string, entryVms: readonly string[]): boolean {
  return rendezvousOrder(target, entryVms).slice(0, probersPerTarget).includes(self);
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
