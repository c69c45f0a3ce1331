//! The port through which rows are read, followed and written.
import type { Milliseconds } from "@lovagebend/common";
import type { Result } from "true-myth";

/// A row of a table. `version` grows with every transaction of the store. `value` is
/// absent where the row was removed.
export interface StoredRow {
  readonly key: string;
  readonly version: number;
  readonly value: Buffer | undefined;
}

/// The whole table as of `version`.
export interface RangeOutcome {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/// `changed`: the rows changed since the version asked about, perhaps none.
/// `forgotten`: the store no longer knows that far back; read the table anew.
export type FeedOutcome =
  | { readonly kind: "changed"; readonly rows: readonly StoredRow[]; readonly version: number }
  | { readonly kind: "forgotten" };

/// No method throws; the error of a result is a sentence for the log. A write that
/// failed may have taken effect, or may still do so.
export interface RowStore {
  readTable(table: string): Promise<Result<RangeOutcome, string>>;
  waitForChanges(
    table: string,
    after: number,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<FeedOutcome, string>>;
  write(table: string, key: string, value: Buffer): Promise<Result<number, string>>;
  remove(table: string, key: string): Promise<Result<number, string>>;
}
