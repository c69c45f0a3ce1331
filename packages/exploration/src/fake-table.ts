//! Fake of the platform's table service in a simulation. Every process has its own
//! connection to the shared rows, on which requests and responses are delayed or lost.
import type { Milliseconds } from "@lovagebend/common";
import {
  StoreError,
  type RowCondition,
  type RowWrite,
  type TableService,
  type TransactOutcome,
} from "@lovagebend/platform";
import { MemoryTable } from "@lovagebend/stand-ins";
import { Result } from "true-myth";
import type { FakeProcess, Simulation } from "./simulation.js";

/// The faults of the table: `chooseFault` is called once for each call that arrives while
/// the table is available.
export interface TableFaults {
  readonly chooseFault: () => TableFault;
  readonly isUnavailable: () => boolean;
}

const minimumLatency: Milliseconds = 2;
const maximumLatency: Milliseconds = 40;
const callTimeout: Milliseconds = 1_500;
const maximumDelay: Milliseconds = 8_000;

/// The fault of one call. With `ResponseLost` the call takes effect although the caller
/// times out; with `Delayed` it takes effect up to 8 s after it was received, whether or
/// not the caller has timed out by then.
export enum TableFault {
  None,
  RequestLost,
  ResponseLost,
  Delayed,
}

const drawableFaults = [TableFault.RequestLost, TableFault.ResponseLost, TableFault.Delayed];

/// Draws the fault of a call, with a probability of 1 in `drawsPerFault`.
export function drawTableFault(simulation: Simulation, drawsPerFault: number): TableFault {
  if (!simulation.drawOneIn(drawsPerFault)) return TableFault.None;
  return drawableFaults[simulation.draw(drawableFaults.length)] ?? TableFault.None;
}

/// The shared rows and the connections to them.
export class FakeTable {
  readonly rows = new MemoryTable();
  constructor(
    private readonly simulation: Simulation,
    private readonly tableProcess: FakeProcess,
    private readonly faults: TableFaults,
  ) {}

  /// Returns the connection of `process` to the table.
  connect(process: FakeProcess): TableService {
    return {
      read: (keys) => this.read(process, () => keys.map((key) => this.rows.read(key))),
      scan: (prefix, after, limit) =>
        this.read(process, () => this.rows.scan(prefix, after, limit)),
      transact: (conditions, writes) => this.transact(process, conditions, writes),
    };
  }

  private async read<T>(process: FakeProcess, readRows: () => T): Promise<Result<T, StoreError>> {
    await this.delayMessage(process);
    if (this.faults.isUnavailable()) return Result.err(StoreError.Unavailable);
    if (this.faults.chooseFault() !== TableFault.None) {
      await this.simulation.delay(process, callTimeout);
      return Result.err(StoreError.NoResponse);
    }
    const snapshot = structuredClone(readRows());
    await this.delayMessage(process);
    return Result.ok(snapshot);
  }

  private async transact(
    process: FakeProcess,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<TransactOutcome> {
    const keys = writes.map(({ key }) => key).join(" ");
    this.simulation.record(`${process.name} -> table: write ${keys}`);
    await this.delayMessage(this.tableProcess);
    if (this.faults.isUnavailable()) {
      this.simulation.record(`table -> ${process.name}: refused, unavailable`);
      await this.delayMessage(process);
      return { kind: "refused" };
    }
    const fault = this.faults.chooseFault();
    switch (fault) {
      case TableFault.None:
        break;
      case TableFault.RequestLost:
        this.simulation.record(`table: write from ${process.name} lost`);
        await this.simulation.delay(process, callTimeout);
        return { kind: "unknown" };
      case TableFault.ResponseLost:
        this.applyWrites(process, conditions, writes, "response lost");
        await this.simulation.delay(process, callTimeout);
        return { kind: "unknown" };
      case TableFault.Delayed:
        void this.applyWritesLater(process, conditions, writes);
        await this.simulation.delay(process, callTimeout);
        return { kind: "unknown" };
    }
    const conflicts = this.applyWrites(process, conditions, writes, "response sent");
    await this.delayMessage(process);
    return conflicts.length === 0 ? { kind: "committed" } : { kind: "conflict", keys: conflicts };
  }

  private async applyWritesLater(
    process: FakeProcess,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<void> {
    await this.simulation.delay(this.tableProcess, this.simulation.draw(maximumDelay));
    this.applyWrites(process, conditions, writes, "late, response lost");
  }

  private applyWrites(
    process: FakeProcess,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
    delivery: string,
  ): string[] {
    const conflicts = this.rows.transact(conditions, structuredClone(writes));
    const outcome = conflicts.length === 0 ? "committed" : `conflict on ${conflicts.join(" ")}`;
    this.simulation.record(`table -> ${process.name}: ${outcome} (${delivery})`);
    return conflicts;
  }

  private delayMessage(process: FakeProcess): Promise<void> {
    return this.simulation.delay(
      process,
      minimumLatency + this.simulation.draw(maximumLatency - minimumLatency),
    );
  }
}
