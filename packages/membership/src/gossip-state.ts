//! What entry VMs tell each other: small facts, each with one owner and a
//! version that only its owner moves.

/// A fact. `owner` and `key` name it; a higher `version` replaces a lower one.
/// `incarnation` is new for each start of the owner, so that facts of its former
/// life give way. `age` is in milliseconds since the owner stated it.
export interface GossipEntry {
  readonly owner: string;
  readonly key: string;
  readonly incarnation: number;
  readonly version: number;
  readonly age: number;
  readonly value: unknown;
}

/// Facts that are new to a peer, and the cursor to ask with next time.
export interface GossipDelta {
  readonly cursor: number;
  readonly entries: readonly GossipEntry[];
}

interface Held {
  readonly entry: GossipEntry;
  readonly heldSince: number;
  readonly sequence: number;
}

/// The facts that one entry VM holds. Facts older than `lifetime` are not passed
/// on and are dropped, so that a replaced owner is forgotten. Times are monotonic
/// milliseconds of this process; ages travel, clocks are never compared.
export class GossipState {
  private readonly held = new Map<string, Held>();
  private sequence = 0;

  constructor(
    private readonly owner: string,
    private readonly incarnation: number,
    private readonly lifetime: number,
  ) {}

  /// States a fact of this entry VM's own.
  state(key: string, value: unknown, now: number): void {
    const previous = this.held.get(`${this.owner}/${key}`)?.entry.version ?? 0;
    this.keep(
      {
        owner: this.owner,
        key,
        incarnation: this.incarnation,
        version: previous + 1,
        age: 0,
        value,
      },
      now,
    );
  }

  /// Takes in a peer's facts. Returns those that were news.
  merge(entries: readonly GossipEntry[], now: number): GossipEntry[] {
    return entries.filter((entry) => {
      if (entry.owner === this.owner || entry.age > this.lifetime) return false;
      const known = this.held.get(`${entry.owner}/${entry.key}`)?.entry;
      if (known !== undefined && !isNewer(entry, known)) return false;
      this.keep(entry, now);
      return true;
    });
  }

  /// The facts kept since `cursor`, with their ages as of `now`.
  since(cursor: number, now: number): GossipDelta {
    const entries: GossipEntry[] = [];
    for (const [name, { entry, heldSince, sequence }] of this.held) {
      const age = entry.age + now - heldSince;
      if (age > this.lifetime) this.held.delete(name);
      else if (sequence > cursor) entries.push({ ...entry, age });
    }
    return { cursor: this.sequence, entries };
  }

  /// All facts under `key` of any owner, with their ages as of `now`.
  facts(key: string, now: number): GossipEntry[] {
    const all = this.since(0, now).entries;
    return all.filter((entry) => entry.key === key);
  }

  private keep(entry: GossipEntry, now: number): void {
    this.sequence += 1;
    this.held.set(`${entry.owner}/${entry.key}`, {
      entry,
      heldSince: now,
      sequence: this.sequence,
    });
  }
}

function isNewer(left: GossipEntry, right: GossipEntry): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation;
  return left.version > right.version;
}
