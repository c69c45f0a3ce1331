//! The entry VMs that this one has heard of, and the roles that it derives from them without a
//! vote. Facts about each entry VM arrive by gossip several times a second, and every request asks
//! for their number, so what is derived from them is kept for a short time.
import { rankByRendezvousHash, type Clock, type Milliseconds } from "@lovagebend/common";
import type { GossipState } from "@lovagebend/membership";
import type { EntryIdentity } from "./entry-dependencies.js";
import type { VmFact } from "./peer-message.js";
import { factKeys } from "./peer-message-schema.js";

/// What an entry VM says of itself, and how long ago it did.
export interface PeerFact {
  readonly owner: string;
  readonly age: Milliseconds;
  readonly value: VmFact;
}

/// What follows from the facts at one time. Lists of names are sorted.
interface Derived {
  readonly at: Milliseconds;
  readonly peers: readonly PeerFact[];
  /// The peers that count as live, including those that are stopping.
  readonly livePeers: readonly PeerFact[];
  readonly liveNames: readonly string[];
  /// Those of them that reach the targets of all services with a model; all, if none does.
  readonly linkedNames: readonly string[];
  readonly localPeerCount: number;
  /// The live peers of this data centre that are not stopping, and this entry VM.
  readonly localNames: readonly string[];
}

/// Which services' targets the holder of a role needs to reach, and which this entry VM doesn't reach.
export interface RoleLinks {
  needs(service: string): boolean;
  listLost(): readonly string[];
}

// Facts are published each second and reach all entry VMs within a few exchanges.
const maximumLiveAge: Milliseconds = 3_500;
// A fraction of that age.
const derivationLifetime: Milliseconds = 100;
// Some roles are named for a target or for a part of a prompt.
const maximumRankedRoles = 1_000;

/// The ranks of a list of candidates for each role. They change only with the list.
class Rankings {
  private candidates = "";
  private readonly ranks = new Map<string, readonly string[]>();

  rank(role: string, candidates: readonly string[]): readonly string[] {
    const joined = candidates.join("\n");
    if (joined !== this.candidates || this.ranks.size >= maximumRankedRoles) this.ranks.clear();
    this.candidates = joined;
    const known = this.ranks.get(role);
    if (known !== undefined) return known;
    const ranked = rankByRendezvousHash(role, candidates);
    this.ranks.set(role, ranked);
    return ranked;
  }
}

export class EntryVmDirectory {
  private hasStopped = false;
  private derived: Derived | undefined;
  private readonly fleetRankings = new Rankings();
  private readonly localRankings = new Rankings();

  constructor(
    private readonly identity: EntryIdentity,
    private readonly gossip: Pick<GossipState, "facts">,
    private readonly clock: Clock,
    private readonly links: RoleLinks = { needs: () => false, listLost: () => [] },
  ) {}

  /// Whether this entry VM is stopping, so that it takes no role.
  get isStopping(): boolean {
    return this.hasStopped;
  }

  stop(): void {
    this.hasStopped = true;
    this.derived = undefined;
  }

  /// The facts of the other entry VMs, also of those that are no longer live.
  listPeers(): readonly PeerFact[] {
    return this.derive().peers;
  }

  /// The facts of the others that are live, including those that are stopping.
  listLivePeers(): readonly PeerFact[] {
    return this.derive().livePeers;
  }

  /// The names of the entry VMs that are live and not stopping, including this one; sorted.
  findLive(): readonly string[] {
    return this.derive().liveNames;
  }

  /// The entry VMs that may hold a role which needs targets, including this one; sorted.
  findRoleCandidates(): readonly string[] {
    return this.derive().linkedNames;
  }

  /// The number of entry VMs. Includes those whose facts are a few seconds old, because they
  /// continue to serve on the other side of a network partition.
  count(): number {
    return this.derive().peers.length + 1;
  }

  /// The number of live entry VMs in this data centre, including this one.
  countLocal(): number {
    return this.derive().localPeerCount + 1;
  }

  /// The live entry VMs of this data centre that are not stopping, and this one, in the order in
  /// which they take `role`, by rendezvous hashing.
  rankLocal(role: string): readonly string[] {
    return this.localRankings.rank(role, this.derive().localNames);
  }

  /// Whether this entry VM holds `role`, by rendezvous hashing over the live entry VMs. Each
  /// entry VM decides from its own view, so that two may hold the role for a while.
  hasRole(role: string): boolean {
    return this.findRoleHolder(role) === this.identity.name;
  }

  findRoleHolder(role: string): string | undefined {
    return this.fleetRankings.rank(role, this.findRoleCandidates())[0];
  }

  private derive(): Derived {
    const now = this.clock.monotonicTime();
    if (this.derived !== undefined && now - this.derived.at < derivationLifetime)
      return this.derived;
    const { name, dataCentre } = this.identity;
    const peers = this.gossip
      .facts(factKeys.vm, now)
      .filter(({ owner }) => owner !== name)
      .map(({ owner, age, value }) => ({ owner, age, value: value as VmFact }));
    const livePeers = peers.filter(({ age }) => age <= maximumLiveAge);
    const localPeers = livePeers.filter(({ value }) => value.dataCentre === dataCentre);
    const listServing = (facts: readonly PeerFact[]): string[] =>
      facts.filter(({ value }) => !value.isStopping).map(({ owner }) => owner);
    const ownNames = this.hasStopped ? [] : [name];
    const liveNames = [...listServing(livePeers), ...ownNames].sort();
    const isLinked = (lostServices: readonly string[] = []): boolean =>
      !lostServices.some((service) => this.links.needs(service));
    const linkedPeers = livePeers.filter(({ value }) => isLinked(value.lostServices));
    const linkedNames = [
      ...listServing(linkedPeers),
      ...(isLinked(this.links.listLost()) ? ownNames : []),
    ].sort();
    this.derived = {
      at: now,
      peers,
      livePeers,
      liveNames,
      linkedNames: linkedNames.length === 0 ? liveNames : linkedNames,
      localPeerCount: localPeers.length,
      localNames: [...listServing(localPeers), name].sort(),
    };
    return this.derived;
  }
}
