//! The interface of the platform's table service: reads and scans of versioned rows, and
//! transactions of conditional writes.
import type { Result } from "true-myth";

/// A stored row. `version` starts at 1 and increases with every write of the row.
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/// A precondition of a transaction: the row has the version `version`; 0 means that the row
/// does not exist.
export interface RowCondition {
  readonly key: string;
  readonly version: number;
}

/// Writes `value` under `key`; `null` deletes the row.
export interface RowWrite {
  readonly key: string;
  readonly value: unknown;
}

/// Why a read or a `put` failed. `Unavailable`: the platform responded with an error status.
/// `NoResponse`: no response came, or one with an invalid body.
export enum StoreError {
  Unavailable = "unavailable",
  NoResponse = "silent",
}

/// The outcome of a transaction. `conflict`: the conditions on the rows `keys` did not hold,
/// and nothing was written. `refused`: it did not take effect and never will. `unknown`: it
/// may have taken effect, or may still do so.
export type TransactOutcome =
  | { readonly kind: "committed" }
  | { readonly kind: "conflict"; readonly keys: readonly string[] }
  | { readonly kind: "refused" }
  | { readonly kind: "unknown" };

/// `read` resolves to the rows in the order of `keys`, with `undefined` for a row that does
/// not exist. `scan` resolves to up to `limit` rows whose keys start with `prefix` and sort
/// after `after`, sorted by key. A transaction takes effect as a whole or not at all. No
/// method throws.
export interface TableService {
  read(keys: readonly string[]): Promise<Result<(Row | undefined)[], StoreError>>;
  scan(prefix: string, after: string, limit: number): Promise<Result<Row[], StoreError>>;
  transact(
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<TransactOutcome>;
}
