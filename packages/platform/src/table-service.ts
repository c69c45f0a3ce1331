//! The platform's transactional table service as the router needs it: rows with
//! versions, reads, and transactions of conditional writes.
import type { Result } from "true-myth";

/// A stored row. `version` starts at 1 and grows with every write of the row.
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/// Holds when the row's version is `version`; 0 means that there is no row.
export interface RowCondition {
  readonly key: string;
  readonly version: number;
}

/// Writes `value` under `key`; `null` deletes the row.
export interface RowWrite {
  readonly key: string;
  readonly value: unknown;
}

/// Why a read gave no answer.
export enum StoreSilence {
  Unavailable = "unavailable",
  Silent = "silent",
}

/// What became of a transaction. `refused`: it did not take effect and will
/// not. `unknown`: it may have taken effect, or may still do so.
export type TransactOutcome =
  | { readonly kind: "committed" }
  | { readonly kind: "conflict"; readonly keys: readonly string[] }
  | { readonly kind: "refused" }
  | { readonly kind: "unknown" };

/// A transaction takes effect whole or not at all. No method throws.
export interface TableService {
  read(keys: readonly string[]): Promise<Result<(Row | undefined)[], StoreSilence>>;
  scan(prefix: string, after: string, limit: number): Promise<Result<Row[], StoreSilence>>;
  transact(
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<TransactOutcome>;
}
