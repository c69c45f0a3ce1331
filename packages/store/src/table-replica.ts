//! A copy of a table, fed by the store and by peers. Of each row the latest version is
//! kept, removed ones included, so that entry VMs can tell each other what they lack.
import type { StoredRow } from "./row-store.js";

export class TableReplica {
  private readonly rows = new Map<string, StoredRow>();
  private latest = -1;

  /// The version that the copy has reached; -1 before anything is known.
  get version(): number {
    return this.latest;
  }

  /// Takes in the whole table. Returns the rows that changed by it, those that are gone
  /// among them.
  applyWhole(rows: readonly StoredRow[], version: number): StoredRow[] {
    const present = new Set(rows.map(({ key }) => key));
    const gone = [...this.rows.values()]
      .filter((row) => row.value !== undefined && !present.has(row.key) && row.version <= version)
      .map(({ key }) => ({ key, version, value: undefined }));
    return this.apply([...rows, ...gone], version);
  }

  /// Takes in rows of any source. Returns those that were news.
  apply(rows: readonly StoredRow[], version: number): StoredRow[] {
    const news = rows.filter((row) => {
      const known = this.rows.get(row.key);
      return known === undefined || row.version > known.version;
    });
    for (const row of news) this.rows.set(row.key, row);
    this.latest = Math.max(this.latest, version);
    return news;
  }

  /// The rows that changed after `version`.
  newerThan(version: number): StoredRow[] {
    return [...this.rows.values()].filter((row) => row.version > version);
  }
}
