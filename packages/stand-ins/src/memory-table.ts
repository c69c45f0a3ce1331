//! Rows with versions in memory, and transactions of conditional writes.
export interface StoredRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

export interface Condition {
  readonly key: string;
  readonly version: number;
}

export interface Write {
  readonly key: string;
  readonly value: unknown;
}

export class MemoryTable {
  private readonly rows = new Map<string, StoredRow>();

  read(key: string): StoredRow | undefined {
    return this.rows.get(key);
  }

  /// Up to `limit` rows whose keys begin with `prefix` and come after `after`.
  scan(prefix: string, after: string, limit: number): StoredRow[] {
    const keys = [...this.rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    return keys.slice(0, limit).flatMap((key) => this.rows.get(key) ?? []);
  }

  /// Writes everything and returns no keys, or writes nothing and returns the keys
  /// whose conditions do not hold.
  transact(conditions: readonly Condition[], writes: readonly Write[]): string[] {
    const conflicts = conditions.filter(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (conflicts.length > 0) return conflicts.map(({ key }) => key);
    for (const { key, value } of writes) {
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, { key, version, value });
    }
    return [];
  }
}
