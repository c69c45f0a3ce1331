//! An in-memory table of versioned rows with optimistic concurrency control:
//! transactions write only when the versions of given rows are unchanged.
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

  /// Returns up to `limit` rows in key order whose keys start with `prefix` and sort
  /// after `after`.
  scan(prefix: string, after: string, limit: number): StoredRow[] {
    const keys = [...this.rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    return keys.slice(0, limit).flatMap((key) => this.rows.get(key) ?? []);
  }

  /// Applies all writes and returns no keys, or applies none and returns the keys whose
  /// versions differ from the conditions. A missing row has version 0; the value `null`
  /// deletes a row.
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
