//! An in-memory replica of a table, updated from the store and from peers. It keeps the
//! latest version of each row and a tombstone for each removed row, so that entry VMs can
//! send each other the changes that the other lacks.
import type { StoredRow } from "./row-store.js";

export class TableReplica {
  private readonly rows = new Map<string, StoredRow>();
  private latestVersion = -1;

  /// The table version that the replica has reached; -1 before the first update.
  get version(): number {
    return this.latestVersion;
  }

  /// Merges a snapshot of the whole table. Returns the rows that changed, including a
  /// tombstone for each removed row.
  applySnapshot(rows: readonly StoredRow[], version: number): StoredRow[] {
    const present = new Set(rows.map(({ key }) => key));
    const removed = [...this.rows.values()]
      .filter((row) => row.value !== undefined && !present.has(row.key) && row.version <= version)
      .map(({ key }) => ({ key, version, value: undefined }));
    return this.apply([...rows, ...removed], version);
  }

  /// Merges rows from any source. Returns those that are newer than the replica's.
  apply(rows: readonly StoredRow[], version: number): StoredRow[] {
    const changed = rows.filter((row) => {
      const known = this.rows.get(row.key);
      return known === undefined || row.version > known.version;
    });
    for (const row of changed) this.rows.set(row.key, row);
    this.latestVersion = Math.max(this.latestVersion, version);
    return changed;
  }

  /// The rows that changed after `version`, tombstones included.
  findRowsNewerThan(version: number): StoredRow[] {
    return [...this.rows.values()].filter((row) => row.version > version);
  }
}
