//! Group commit: collects conditional writes of single rows and sends them to the table
//! service in shared transactions.
import type { TableService } from "@lovagebend/platform";

/// A row to write if its stored version equals `version`; version 0 means that there is no
/// such row.
export interface ConditionalWrite {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/// `conflict`: the row has another version. `refused`: nothing was written. `unknown`: the
/// row may have been written, or may still be.
export type WriteOutcome = "committed" | "conflict" | "refused" | "unknown";

interface PendingWrite {
  readonly write: ConditionalWrite;
  readonly resolve: (outcome: WriteOutcome) => void;
}

const maximumGroupSize = 64;
const maximumQueueLength = 2_000;

/// Runs one transaction at a time and collects the writes that arrive meanwhile for the next
/// one. A write that conflicts does not fail the other writes of its group: they are
/// committed in another transaction without it. Two writes of the same key never share a
/// transaction.
export class GroupWriter {
  private queue: PendingWrite[] = [];
  private isDraining = false;

  constructor(private readonly table: TableService) {}

  /// Never throws. Resolves to `refused` immediately if the queue is full.
  write(write: ConditionalWrite): Promise<WriteOutcome> {
    if (this.queue.length >= maximumQueueLength) return Promise.resolve("refused");
    return new Promise((resolve) => {
      this.queue.push({ write, resolve });
      if (!this.isDraining) void this.drain();
    });
  }

  private async drain(): Promise<void> {
    this.isDraining = true;
    // Waits one turn of the event loop, so that requests that arrive together share a group.
    await new Promise((resolve) => setImmediate(resolve));
    while (this.queue.length > 0) await this.commit(this.takeGroup());
    this.isDraining = false;
  }

  private takeGroup(): PendingWrite[] {
    const keys = new Set<string>();
    const group: PendingWrite[] = [];
    const remaining: PendingWrite[] = [];
    for (const pending of this.queue) {
      const isEligible = group.length < maximumGroupSize && !keys.has(pending.write.key);
      (isEligible ? group : remaining).push(pending);
      keys.add(pending.write.key);
    }
    this.queue = remaining;
    return group;
  }

  private async commit(group: readonly PendingWrite[]): Promise<void> {
    const outcome = await this.table.transact(
      group.map(({ write }) => ({ key: write.key, version: write.version })),
      group.map(({ write }) => ({ key: write.key, value: write.value })),
    );
    if (outcome.kind !== "conflict") {
      for (const { resolve } of group) resolve(outcome.kind);
      return;
    }
    const conflicting = new Set(outcome.keys);
    const remaining = group.filter(({ write }) => !conflicting.has(write.key));
    if (remaining.length === group.length) {
      for (const { resolve } of group) resolve("unknown");
      return;
    }
    for (const { write, resolve } of group) {
      if (conflicting.has(write.key)) resolve("conflict");
    }
    if (remaining.length > 0) await this.commit(remaining);
  }
}
