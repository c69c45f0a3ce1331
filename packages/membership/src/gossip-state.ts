//! What entry VMs tell each other: small facts, each with one owner. A peer says how far
//! it has come with each owner and is sent only what is newer.

/// A fact under `key` of `owner`. `version` grows with each statement of the owner, over
/// all its facts; a later start of the owner begins above every version of the earlier.
/// `age` is in milliseconds since the owner stated it.
export interface GossipEntry {
  readonly owner: string;
  readonly key: string;
  readonly version: number;
  readonly age: number;
  readonly value: unknown;
}

/// The latest version held of each owner.
export type GossipDigest = Readonly<Record<string, number>>;

interface Held {
  readonly entry: GossipEntry;
  readonly heldSince: number;
}

/// The facts that one entry VM holds. Facts older than `lifetime` are not passed on and
/// are dropped, so that a replaced owner is forgotten. Times are monotonic milliseconds of
/// this process; ages travel, clocks are never compared.
export class GossipState {
  private readonly held = new Map<string, Held>();

  /// `version` is where the versions of this life of `owner` begin: its wall clock in
  /// milliseconds at the start, which is later than at any start before, and further on
  /// than statements, of which there are a few a second.
  constructor(
    private readonly owner: string,
    private version: number,
    private readonly lifetime: number,
  ) {}

  /// States a fact of this entry VM's own.
  state(key: string, value: unknown, now: number): void {
    this.version += 1;
    this.keep({ owner: this.owner, key, version: this.version, age: 0, value }, now);
  }

  /// Takes in a peer's facts. Returns those that were news.
  merge(entries: readonly GossipEntry[], now: number): GossipEntry[] {
    return entries.filter((entry) => {
      if (entry.owner === this.owner || entry.age > this.lifetime) return false;
      const known = this.held.get(`${entry.owner}/${entry.key}`)?.entry.version ?? 0;
      if (entry.version <= known) return false;
      this.keep(entry, now);
      return true;
    });
  }

  /// How far this entry VM has come with each owner.
  digest(): GossipDigest {
    const digest: Record<string, number> = {};
    for (const { entry } of this.held.values()) {
      digest[entry.owner] = Math.max(digest[entry.owner] ?? 0, entry.version);
    }
    return digest;
  }

  /// The facts that a peer with this digest lacks, with their ages as of `now`. All that
  /// are newer are sent, so that a digest never covers a fact its holder missed.
  newerThan(digest: GossipDigest, now: number): GossipEntry[] {
    return this.select(now, ({ owner, version }) => version > (digest[owner] ?? 0));
  }

  /// All facts under `key` of any owner, with their ages as of `now`.
  facts(key: string, now: number): GossipEntry[] {
    return this.select(now, (entry) => entry.key === key);
  }

  private select(now: number, isWanted: (entry: GossipEntry) => boolean): GossipEntry[] {
    const found: GossipEntry[] = [];
    for (const [name, { entry, heldSince }] of this.held) {
      const age = Math.round(entry.age + now - heldSince);
      if (age > this.lifetime) this.held.delete(name);
      else if (isWanted(entry)) found.push({ ...entry, age });
    }
    return found;
  }

  private keep(entry: GossipEntry, now: number): void {
    this.held.set(`${entry.owner}/${entry.key}`, { entry, heldSince: now });
  }
}
