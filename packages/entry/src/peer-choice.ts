//! Chooses the peer for the next exchange or call: mostly one of the same data centre, now and then one
//! that may be on the other side of a network partition, and a follower of the store if the own view of
//! it is old.
import type { EntryIdentity } from "./entry-dependencies.js";
import type { EntryVmDirectory } from "./entry-vm-directory.js";
import type { VmFact } from "./peer-message.js";
import type { StoreFollowers } from "./store-followers.js";

// Peers in the same data centre answer sooner and stay reachable during a network partition
// between data centres.
const localExchangeShare = 0.6;
// In a data centre with many entry VMs, a small share of remote exchanges still carries its
// changes out several times a second, and traffic between data centres is expensive.
const manyLocalPeersMinimum = 8;
const localExchangeShareWithManyPeers = 0.9;
const explorationShare = 0.2;
// Larger shares would make followers busy without making the views of others younger.
const followerExchangeShare = 0.3;

export class PeerChoice {
  private readonly registeredVms = new Map<string, VmFact>();

  /// `hasRecentView` is whether the own view of the store is recent.
  constructor(
    private readonly identity: EntryIdentity,
    private readonly directory: EntryVmDirectory,
    private readonly followers: StoreFollowers,
    private readonly hasRecentView: () => boolean,
  ) {}

  /// Adds an entry VM that is registered in the store, for the case that no seed answers.
  addRegistered(name: string, fact: VmFact): void {
    this.registeredVms.set(name, fact);
  }

  /// The addresses of up to `count` random live peers of any data centre.
  chooseSeveralLive(count: number): readonly string[] {
    return this.directory
      .listLivePeers()
      .filter(({ value }) => !value.isStopping)
      .map(({ value }) => ({ address: value.address, order: Math.random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, count)
      .map(({ address }) => address);
  }

  /// The address of the peer for the next exchange; `undefined` if none is known.
  chooseForExchange(): string | undefined {
    const follower = this.hasRecentView() ? undefined : this.chooseFollower();
    if (follower !== undefined && Math.random() < followerExchangeShare) return follower;
    const { peers, dataCentre, seeds } = this.identity;
    const peerFacts = this.directory.listPeers();
    const live = this.directory.listLivePeers().map(({ value }) => value);
    const local = live.filter((fact) => fact.dataCentre === dataCentre);
    const share =
      local.length >= manyLocalPeersMinimum ? localExchangeShareWithManyPeers : localExchangeShare;
    const pool = local.length > 0 && Math.random() < share ? local : live;
    const addresses = pool.map(({ address }) => address);
    // Some exchanges go to known addresses without a live fact, to heal a network partition.
    const liveAddresses = new Set(live.map(({ address }) => address));
    const ownAddress = `${peers.host}:${peers.port}`;
    const unconfirmedAddresses = [
      ...seeds,
      ...[...this.registeredVms.values(), ...peerFacts.map(({ value }) => value)].map(
        ({ address }) => address,
      ),
    ].filter((address) => address !== ownAddress && !liveAddresses.has(address));
    const isExploring = addresses.length === 0 || Math.random() < explorationShare;
    return chooseRandom(
      isExploring && unconfirmedAddresses.length > 0 ? unconfirmedAddresses : addresses,
    );
  }

  private chooseFollower(): string | undefined {
    const chosen = chooseRandom(
      this.followers.list().filter((name) => name !== this.identity.name),
    );
    const fact = this.directory.listLivePeers().find(({ owner }) => owner === chosen);
    return fact?.value.address;
  }
}

function chooseRandom<Item>(items: readonly Item[]): Item | undefined {
  return items[Math.floor(Math.random() * items.length)];
}
