//! Anti-entropy gossip between entry VMs. The state is a set of small facts, each with one
//! owner. A peer sends a digest with the latest version that it holds of each owner, and
//! receives only the facts that are newer.

/// A fact that `owner` published under `key`. `version` increases with each publication of
/// the owner, across all its facts; after a restart the owner begins above every earlier
/// version, or rises above it when a peer's digest shows one. `age` is the time in milliseconds
/// since the owner published the fact.
export interface GossipEntry {
  readonly owner: string;
  readonly key: string;
  readonly version: number;
  readonly age: number;
  readonly value: unknown;
}

/// The latest version that is held of each owner.
export type GossipDigest = Readonly<Record<string, number>>;

interface HeldFact {
  readonly entry: GossipEntry;
  readonly receivedAt: number;
}

/// The facts that one entry VM holds. Facts older than `lifetime` are neither sent nor kept,
/// so that the facts of a replaced owner expire. Times are monotonic milliseconds of this
/// process. Only ages are sent, so that the clocks of different VMs are never compared.
export class GossipState {
  private readonly held = new Map<string, HeldFact>();

  /// `version` is the starting version of `owner`: its wall clock in milliseconds at process
  /// start. It exceeds every version of an earlier start unless the clock was set back in
  /// between, because the clock advances faster than the version, which increases a few times
  /// per second.
  constructor(
    private readonly owner: string,
    private version: number,
    private readonly lifetime: number,
  ) {}

  /// Publishes a fact of this entry VM.
  publish(key: string, value: unknown, now: number): void {
    this.version += 1;
    this.store({ owner: this.owner, key, version: this.version, age: 0, value }, now);
  }

  /// Raises the own version above the one that a peer's digest shows for this entry VM: that of
  /// an earlier start, at which the clock was ahead. Until then the peer ignores the facts of
  /// this start. Returns whether the version was raised.
  riseAbove(digest: GossipDigest): boolean {
    const shown = digest[this.owner] ?? 0;
    if (shown <= this.version) return false;
    this.version = shown;
    for (const { entry, receivedAt } of [...this.held.values()]) {
      if (entry.owner !== this.owner) continue;
      this.version += 1;
      this.store({ ...entry, version: this.version }, receivedAt);
    }
    return true;
  }

  /// Merges a peer's facts. Returns those that are newer than the facts held so far.
  merge(entries: readonly GossipEntry[], now: number): GossipEntry[] {
    return entries.filter((entry) => {
      if (entry.owner === this.owner || entry.age > this.lifetime) return false;
      const knownVersion = this.held.get(`${entry.owner}/${entry.key}`)?.entry.version ?? 0;
      if (entry.version <= knownVersion) return false;
      this.store(entry, now);
      return true;
    });
  }

  /// The latest version held of each owner, to be sent to a peer.
  digest(): GossipDigest {
    const digest: Record<string, number> = {};
    for (const { entry } of this.held.values()) {
      digest[entry.owner] = Math.max(digest[entry.owner] ?? 0, entry.version);
    }
    return digest;
  }

  /// The facts that a peer with this digest lacks, with their ages as of `now`. All newer facts
  /// are returned, since a digest must never cover a fact that its sender has not received.
  newerThan(digest: GossipDigest, now: number): GossipEntry[] {
    return this.select(now, ({ owner, version }) => version > (digest[owner] ?? 0));
  }

  /// All facts under `key` of any owner, with their ages as of `now`.
  facts(key: string, now: number): GossipEntry[] {
    return this.select(now, (entry) => entry.key === key);
  }

  private select(now: number, isSelected: (entry: GossipEntry) => boolean): GossipEntry[] {
    const found: GossipEntry[] = [];
    for (const [name, { entry, receivedAt }] of this.held) {
      const age = Math.round(entry.age + now - receivedAt);
      if (age > this.lifetime) this.held.delete(name);
      else if (isSelected(entry)) found.push({ ...entry, age });
    }
    return found;
  }

  private store(entry: GossipEntry, now: number): void {
    this.held.set(`${entry.owner}/${entry.key}`, { entry, receivedAt: now });
  }
}
