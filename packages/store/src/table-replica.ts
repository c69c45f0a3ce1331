//! An in-memory replica of a table, updated from the store and from peers. It keeps the
//! latest version of each row and a tombstone for each removed row, so that entry VMs can
//! send each other the changes that the other lacks.
import { isLater, type Revision } from "./revision.js";
import type { StoredRow } from "./row-store.js";
import { initialEra } from "./store-era.js";

/// What one replica sends to another: the rows that the other lacks, and the state that they
/// lead to. `isWhole`: `rows` are the whole table.
export interface TableTransfer {
  readonly rows: readonly StoredRow[];
  readonly revision: Revision;
  readonly isWhole: boolean;
  /// Set if the rows, as a whole, also replace a later state.
  readonly replacesLater?: boolean;
}

/// Holds the complete table as of `revision`, and possibly later changes. All rows are of one
/// era: the replica enters a later era only with a snapshot of that era, and ignores rows of
/// any other.
export class TableReplica {
  private rows = new Map<string, StoredRow>();
  private reached: Revision = { era: initialEra, version: -1 };
  // A snapshot does not say what was removed before it, so that a replica at an earlier version
  // needs the whole table.
  private removalsKnownSince = -1;

  /// The state that the replica has reached; its version is -1 before the first update.
  get revision(): Revision {
    return this.reached;
  }

  /// Merges a snapshot of the whole table. Returns the rows that changed, including a
  /// tombstone for each removed row. A snapshot of a later era replaces all rows, so that
  /// all of them are returned; one of a state that the replica has passed changes nothing,
  /// unless it `replacesLater`.
  applySnapshot(
    rows: readonly StoredRow[],
    revision: Revision,
    replacesLater = false,
  ): StoredRow[] {
    const { era, version } = revision;
    if (!replacesLater && !isLater(revision, this.reached)) return [];
    const replacesAll = replacesLater || era > this.reached.era;
    const present = new Set(rows.map(({ key }) => key));
    const removed = [...this.rows.values()]
      .filter((row) => row.value !== undefined && !present.has(row.key))
      .filter((row) => replacesAll || row.version <= version)
      .map(({ key }) => ({ key, version, value: undefined }));
    if (replacesAll) this.rows = new Map();
    this.removalsKnownSince = version;
    return this.merge([...rows, ...removed], revision);
  }

  /// Merges all changes between a state that the replica has reached and `revision`, of the
  /// same era. Returns the rows that are newer than the replica's.
  apply(rows: readonly StoredRow[], revision: Revision): StoredRow[] {
    const isOfThisEra = revision.era === this.reached.era;
    return isOfThisEra && isLater(revision, this.reached) ? this.merge(rows, revision) : [];
  }

  private merge(rows: readonly StoredRow[], revision: Revision): StoredRow[] {
    const changed = rows.filter((row) => {
      const known = this.rows.get(row.key);
      return known === undefined || row.version > known.version;
    });
    for (const row of changed) this.rows.set(row.key, row);
    this.reached = revision;
    return changed;
  }

  /// Merges what another replica sent. Returns the rows that changed.
  applyTransfer({ rows, revision, isWhole, replacesLater }: TableTransfer): StoredRow[] {
    return isWhole ? this.applySnapshot(rows, revision, replacesLater) : this.apply(rows, revision);
  }

  /// What a replica at `known` lacks, tombstones included: the whole table if `known` is of an
  /// earlier era, or before removals that this replica does not know of.
  composeTransfer(known: Revision): TableTransfer {
    const revision = this.reached;
    if (!isLater(revision, known)) return { rows: [], revision, isWhole: false };
    const isWhole = revision.era > known.era || known.version < this.removalsKnownSince;
    const rows = [...this.rows.values()].filter((row) => isWhole || row.version > known.version);
    return { rows, revision, isWhole };
  }
}
