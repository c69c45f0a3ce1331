//! A row store in memory on a virtual clock, with outages.
import type { Clock, Milliseconds } from "@lovagebend/common";
import {
  StoreEra,
  type ChangeFeedResult,
  type RowStore,
  type StoredRow,
  type TableSnapshot,
} from "@lovagebend/store";
import { Result } from "true-myth";

/// How the store treats a call that arrives, or is waiting, during an outage.
export enum Outage {
  None = "none",
  /// Fails each call at once.
  Refusing = "refusing",
  /// Never answers. A call that waited when the outage began is not answered later either.
  Silent = "silent",
}

// As long as the client waits beyond the timeout of a poll.
const responseTimeout: Milliseconds = 800;
const pollStep: Milliseconds = 20;

const discard = (): undefined => undefined;

export class ScriptedStore implements RowStore {
  /// The number of reads and polls so far.
  callCount = 0;
  readonly era = new StoreEra({ info: discard, warn: discard, error: discard });
  private rows: (StoredRow & { readonly table: string })[] = [];
  private version = 0;
  private outage = Outage.None;
  private outageCount = 0;

  constructor(private readonly clock: Clock) {}

  put(table: string, key: string, value: string): void {
    this.change(table, key, Buffer.from(value));
  }

  delete(table: string, key: string): void {
    this.change(table, key, undefined);
  }

  setOutage(outage: Outage): void {
    if (outage !== Outage.None) this.outageCount += 1;
    this.outage = outage;
  }

  async readTable(table: string): Promise<Result<TableSnapshot, string>> {
    this.callCount += 1;
    const failure = await this.failDuringOutage(0);
    if (failure !== undefined) return Result.err(failure);
    const rows = this.rows.filter((row) => row.table === table && row.value !== undefined);
    return Result.ok({ rows, version: this.version, era: this.era.current });
  }

  async waitForChanges(
    table: string,
    after: number,
    timeout: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<ChangeFeedResult, string>> {
    this.callCount += 1;
    const requestedAt = this.clock.monotonicTime();
    const { outageCount } = this;
    for (;;) {
      if (signal.aborted) return Result.err("aborted");
      const remaining = requestedAt + timeout - this.clock.monotonicTime();
      const failure = await this.failDuringOutage(remaining, outageCount, signal);
      if (failure !== undefined) return Result.err(failure);
      const rows = this.rows.filter((row) => row.table === table && row.version > after);
      if (rows.length > 0 || remaining <= 0)
        return Result.ok({ kind: "changed", rows, version: this.version, era: this.era.current });
      await this.clock.sleep(Math.min(pollStep, remaining));
    }
  }

  write(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(this.version));
  }

  remove(): Promise<Result<number, string>> {
    return Promise.resolve(Result.ok(this.version));
  }

  private change(table: string, key: string, value: Buffer | undefined): void {
    this.version += 1;
    this.rows = this.rows.filter((row) => row.table !== table || row.key !== key);
    this.rows.push({ table, key, version: this.version, value });
  }

  private async failDuringOutage(
    remaining: Milliseconds,
    outageCount = this.outageCount,
    signal?: AbortSignal,
  ): Promise<string | undefined> {
    if (this.outage === Outage.Refusing) return "status 503";
    if (this.outage === Outage.None && this.outageCount === outageCount) return undefined;
    await this.clock.sleep(Math.max(0, remaining) + responseTimeout, signal);
    return "no response";
  }
}
