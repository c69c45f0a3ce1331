//! Conditional writes of single rows, gathered into shared transactions.
import type { TableService } from "@lovagebend/platform";

/// One row to write if its stored version is still `version`.
export interface ConditionalWrite {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/// `conflict`: the row has another version. `refused`: nothing was written.
/// `unknown`: it may have been written.
export type WriteOutcome = "committed" | "conflict" | "refused" | "unknown";

interface Waiting {
  readonly write: ConditionalWrite;
  readonly resolve: (outcome: WriteOutcome) => void;
}

const largestGroup = 64;
const largestQueue = 2_000;

/// Keeps one transaction under way and gathers what arrives meanwhile into the
/// next. A write that conflicts does not fail the others of its group. Two
/// writes of one key never share a transaction.
export class GroupWriter {
  private queue: Waiting[] = [];
  private busy = false;

  constructor(private readonly table: TableService) {}

  /// Never throws. A full queue refuses at once.
  write(write: ConditionalWrite): Promise<WriteOutcome> {
    if (this.queue.length >= largestQueue) return Promise.resolve("refused");
    return new Promise((resolve) => {
      this.queue.push({ write, resolve });
      if (!this.busy) void this.drain();
    });
  }

  private async drain(): Promise<void> {
    this.busy = true;
    // One turn of the event loop lets requests of the same moment share a group.
    await new Promise((resolve) => setImmediate(resolve));
    while (this.queue.length > 0) await this.commit(this.takeGroup());
    this.busy = false;
  }

  private takeGroup(): Waiting[] {
    const keys = new Set<string>();
    const group: Waiting[] = [];
    const rest: Waiting[] = [];
    for (const waiting of this.queue) {
      const fits = group.length < largestGroup && !keys.has(waiting.write.key);
      (fits ? group : rest).push(waiting);
      keys.add(waiting.write.key);
    }
    this.queue = rest;
    return group;
  }

  private async commit(group: readonly Waiting[]): Promise<void> {
    const outcome = await this.table.transact(
      group.map(({ write }) => ({ key: write.key, version: write.version })),
      group.map(({ write }) => ({ key: write.key, value: write.value })),
    );
    if (outcome.kind !== "conflict") {
      for (const { resolve } of group) resolve(outcome.kind);
      return;
    }
    const conflicting = new Set(outcome.keys);
    const rest = group.filter(({ write }) => !conflicting.has(write.key));
    if (rest.length === group.length) {
      for (const { resolve } of group) resolve("unknown");
      return;
    }
    for (const { write, resolve } of group) {
      if (conflicting.has(write.key)) resolve("conflict");
    }
    if (rest.length > 0) await this.commit(rest);
  }
}
