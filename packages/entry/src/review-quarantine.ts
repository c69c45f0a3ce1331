//! The task of the quarantine of prompt parts: reviews the evidence for new verdicts, and keeps
//! the verdicts in the store, so that they outlive a restart of all entry VMs.
import {
  describeIssues,
  parseJson,
  validate,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { verdictSchema, type PromptQuarantine, type VerdictState } from "@lovagebend/quarantine";
import type { RowStore } from "@lovagebend/store";
import * as z from "zod";
import type { Peers } from "./peers.js";

const reviewInterval: Milliseconds = 100;
const storeRetryInterval: Milliseconds = 2_000;

export interface QuarantineParts {
  readonly quarantine: PromptQuarantine;
  readonly peers: Peers;
  readonly store: RowStore;
  readonly table: string;
  readonly clock: Clock;
  readonly logger: Logger;
}

// A stored verdict; its key is the part. `at` is a time of the wall clock, since all entry VMs
// may restart in between.
const storedVerdictSchema = z.object({
  generation: verdictSchema.shape.generation,
  state: verdictSchema.shape.state,
  at: z.number().int().nonnegative(),
});

/// Reviews the evidence until `signal` aborts.
export async function reviewQuarantine(
  { quarantine, clock, logger }: Pick<QuarantineParts, "quarantine" | "clock" | "logger">,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    for (const { part, crashes } of quarantine.review(clock.monotonicTime()))
      logger.warn("prompt part quarantined", { part, crashes });
    await clock.sleep(reviewInterval, signal);
  }
}

/// Reads the stored verdicts and writes new ones until `signal` aborts. Each verdict is written
/// by one entry VM.
export async function storeVerdicts(parts: QuarantineParts, signal: AbortSignal): Promise<void> {
  const { quarantine, peers, store, table, clock, logger } = parts;
  const stored = new Map<string, string>();
  let hasRead = false;
  while (!signal.aborted) {
    if (!hasRead) hasRead = await readVerdicts(parts, stored);
    for (const { part, generation, state, at } of quarantine.listVerdicts()) {
      const description = describeVerdict(generation, state);
      if (!hasRead || stored.get(part) === description) continue;
      if (!peers.hasRole(`verdict on ${part}`)) continue;
      const wallClockTime = clock.wallClockTime() - (clock.monotonicTime() - at);
      const value = JSON.stringify({ generation, state, at: Math.round(wallClockTime) });
      const written = await store.write(table, part, Buffer.from(value));
      if (written.isOk) stored.set(part, description);
      logger.info("verdict stored", {
        part,
        generation,
        state,
        error: written.isErr ? written.error : undefined,
      });
    }
    await clock.sleep(storeRetryInterval, signal);
  }
}

async function readVerdicts(
  { quarantine, store, table, clock, logger }: QuarantineParts,
  stored: Map<string, string>,
): Promise<boolean> {
  const snapshot = await store.readTable(table);
  if (snapshot.isErr) {
    logger.warn("reading verdicts from the store failed", { reason: snapshot.error });
    return false;
  }
  const verdicts = snapshot.value.rows.flatMap(({ key: part, value }) => {
    if (value === undefined) return [];
    const verdict = validate(verdictSchema.shape.part, part).andThen(() =>
      parseJson(storedVerdictSchema, value.toString("utf8")),
    );
    if (verdict.isErr) {
      logger.warn("ignoring invalid verdict", { part, reason: describeIssues(verdict.error) });
      return [];
    }
    const { generation, state, at } = verdict.value;
    stored.set(part, describeVerdict(generation, state));
    // The wall clock may have been set back since.
    return [{ part, generation, state, age: Math.max(0, clock.wallClockTime() - at) }];
  });
  if (verdicts.length > 0) {
    quarantine.merge({ records: [], verdicts }, clock.monotonicTime());
    logger.info("verdicts read from the store", { parts: verdicts.map(({ part }) => part) });
  }
  return true;
}

function describeVerdict(generation: number, state: VerdictState): string {
  return `${generation} ${state}`;
}
