//! Rows that an entry VM owns in the store, such as its registration. They are written until
//! the store has taken them, and again after each restore of the store, which may have lost
//! them.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { Era, RowStore } from "@lovagebend/store";

/// A row to be kept in the store. A row whose `content` is that of the last one written under
/// its key is not written again.
export interface OwnRow {
  readonly key: string;
  readonly content: string;
  readonly value: Buffer;
}

export interface OwnRowsOptions {
  readonly store: RowStore;
  readonly table: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /// The log event of a row that was written.
  readonly event: string;
  /// The rows that this entry VM owns now.
  readonly listRows: () => readonly OwnRow[];
  /// What the table held of them in `era`.
  readonly written?: { readonly era: Era; readonly contents: ReadonlyMap<string, string> };
}

const pollInterval: Milliseconds = 2_000;
const initialRetryDelay: Milliseconds = 500;
const maximumRetryDelay: Milliseconds = 8_000;
// Spreads the writes of 90 entry VMs after a restore to less than a tenth of what the store
// takes.
const rewriteSpread: Milliseconds = 3_000;

/// Keeps the rows in the store until `signal` aborts.
export async function keepOwnRows(options: OwnRowsOptions, signal: AbortSignal): Promise<void> {
  const { store, clock } = options;
  let contents = new Map(options.written?.contents);
  let era = options.written?.era ?? store.era.current;
  let retryDelay = initialRetryDelay;
  while (!signal.aborted) {
    if (store.era.current !== era) {
      await clock.sleep(Math.random() * rewriteSpread, signal);
      era = store.era.current;
      contents = new Map();
    }
    const isComplete = await writeRows(options, contents, signal);
    await clock.sleep(isComplete ? pollInterval : retryDelay * (0.5 + Math.random() / 2), signal);
    retryDelay = isComplete ? initialRetryDelay : Math.min(maximumRetryDelay, retryDelay * 2);
  }
}

// Returns whether the store has taken all rows that had to be written.
async function writeRows(
  { store, table, logger, event, listRows }: OwnRowsOptions,
  contents: Map<string, string>,
  signal: AbortSignal,
): Promise<boolean> {
  for (const { key, content, value } of listRows()) {
    if (contents.get(key) === content) continue;
    if (signal.aborted) return false;
    const written = await store.write(table, key, value);
    if (written.isErr) {
      logger.warn("own row not written", { table, key, reason: written.error });
      return false;
    }
    contents.set(key, content);
    logger.info(event, { key, content, era: store.era.current });
  }
  return true;
}
