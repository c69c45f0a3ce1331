//! A table service in a fake world, as one process reaches it over a bad connection.
import type { Milliseconds } from "@lovagebend/common";
import {
  StoreSilence,
  type RowCondition,
  type RowWrite,
  type TableService,
  type TransactOutcome,
} from "@lovagebend/platform";
import { MemoryTable } from "@lovagebend/stand-ins";
import { Result } from "true-myth";
import type { FakeProcess, Simulation } from "./world.js";

/// What goes wrong on the way to the table: `nextFault` is asked once for each call.
export interface TableFaults {
  readonly nextFault: () => TableFault;
  readonly isOut: () => boolean;
}

const quickest: Milliseconds = 2;
const slowest: Milliseconds = 40;
const timeout: Milliseconds = 1_500;
const longestDelay: Milliseconds = 8_000;

/// `AnswerLost`: the call took effect. `Delayed`: it takes effect after the caller has
/// given up.
export enum TableFault {
  None,
  RequestLost,
  AnswerLost,
  Delayed,
}

const drawable = [TableFault.RequestLost, TableFault.AnswerLost, TableFault.Delayed];

/// A fault for one call in `oneIn`.
export function drawTableFault(simulation: Simulation, oneIn: number): TableFault {
  if (!simulation.drawOneIn(oneIn)) return TableFault.None;
  return drawable[simulation.draw(drawable.length)] ?? TableFault.None;
}

/// The shared rows, and a connection to them for each process.
export class FakeTable {
  readonly rows = new MemoryTable();
  constructor(
    private readonly simulation: Simulation,
    private readonly store: FakeProcess,
    private readonly faults: TableFaults,
  ) {}

  /// The table as `process` reaches it.
  connect(process: FakeProcess): TableService {
    return {
      read: (keys) => this.read(process, () => keys.map((key) => this.rows.read(key))),
      scan: (prefix, after, limit) =>
        this.read(process, () => this.rows.scan(prefix, after, limit)),
      transact: (conditions, writes) => this.transact(process, conditions, writes),
    };
  }

  private async read<T>(process: FakeProcess, look: () => T): Promise<Result<T, StoreSilence>> {
    await this.travel(process);
    if (this.faults.isOut()) return Result.err(StoreSilence.Unavailable);
    if (this.faults.nextFault() !== TableFault.None) {
      await this.simulation.delay(process, timeout);
      return Result.err(StoreSilence.Silent);
    }
    const found = structuredClone(look());
    await this.travel(process);
    return Result.ok(found);
  }

  private async transact(
    process: FakeProcess,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<TransactOutcome> {
    const names = writes.map(({ key }) => key).join(" ");
    this.simulation.record(`${process.name} -> table: write ${names}`);
    await this.travel(this.store);
    if (this.faults.isOut()) {
      this.simulation.record(`table -> ${process.name}: refused, out`);
      await this.travel(process);
      return { kind: "refused" };
    }
    const fault = this.faults.nextFault();
    switch (fault) {
      case TableFault.None:
        break;
      case TableFault.RequestLost:
        this.simulation.record(`table: write from ${process.name} lost`);
        await this.simulation.delay(process, timeout);
        return { kind: "unknown" };
      case TableFault.AnswerLost:
        this.apply(process, conditions, writes, "answer lost");
        await this.simulation.delay(process, timeout);
        return { kind: "unknown" };
      case TableFault.Delayed:
        void this.applyLater(process, conditions, writes);
        await this.simulation.delay(process, timeout);
        return { kind: "unknown" };
    }
    const conflicts = this.apply(process, conditions, writes, "answered");
    await this.travel(process);
    return conflicts.length === 0 ? { kind: "committed" } : { kind: "conflict", keys: conflicts };
  }

  private async applyLater(
    process: FakeProcess,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<void> {
    await this.simulation.delay(this.store, this.simulation.draw(longestDelay));
    this.apply(process, conditions, writes, "late, answer lost");
  }

  private apply(
    process: FakeProcess,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
    how: string,
  ): string[] {
    const conflicts = this.rows.transact(conditions, structuredClone(writes));
    const outcome = conflicts.length === 0 ? "committed" : `conflict on ${conflicts.join(" ")}`;
    this.simulation.record(`table -> ${process.name}: ${outcome} (${how})`);
    return conflicts;
  }

  private travel(process: FakeProcess): Promise<void> {
    return this.simulation.delay(process, quickest + this.simulation.draw(slowest - quickest));
  }
}
