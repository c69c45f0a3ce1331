//! The interface of the row store: reads whole tables, waits for changes, and writes and
//! removes single rows.
import type { Milliseconds } from "@lovagebend/common";
import type { Result } from "true-myth";
import type { Revision } from "./revision.js";
import type { StoreEra } from "./store-era.js";

/// A row of a table. `version` is the store's version at the row's last change; within one
/// era of the store it grows with every transaction. `value` is `undefined` if the row was removed.
export interface StoredRow {
  readonly key: string;
  readonly version: number;
  readonly value: Buffer | undefined;
}

/// A snapshot of all rows of a table.
export interface TableSnapshot extends Revision {
  readonly rows: readonly StoredRow[];
}

/// `changed`: the rows that changed after the requested version; may be empty. If its era is
/// not that of the requested version, they are not all of the changes.
/// `forgotten`: the store no longer keeps the history since the requested version, so the
/// caller has to read the whole table again.
export type ChangeFeedResult =
  | ({ readonly kind: "changed"; readonly rows: readonly StoredRow[] } & Revision)
  | { readonly kind: "forgotten" };

/// No method throws; the error of a result is a text for the log. A failed write may have
/// taken effect, or may still take effect later.
export interface RowStore {
  /// Kept current by every answer of the store, failures included. No result is of an era
  /// before the one that was current when its answer arrived.
  readonly era: StoreEra;
  readTable(table: string): Promise<Result<TableSnapshot, string>>;
  /// A long poll: returns the changes after version `after`, or an empty result once `timeout`
  /// has passed without a change.
  waitForChanges(
    table: string,
    after: number,
    timeout: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<ChangeFeedResult, string>>;
  write(table: string, key: string, value: Buffer): Promise<Result<number, string>>;
  remove(table: string, key: string): Promise<Result<number, string>>;
}
