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
import { keepOwnRows, type OwnRow, type OwnRowsOptions } from "./own-rows.js";
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

/// Reads the stored verdicts and keeps new ones in the store until `signal` aborts. Each
/// verdict is written by one entry VM.
export async function storeVerdicts(parts: QuarantineParts, signal: AbortSignal): Promise<void> {
  const { quarantine, peers, store, table, clock, logger } = parts;
  let written = await readVerdicts(parts);
  while (written === undefined && !signal.aborted) {
    await clock.sleep(storeRetryInterval, signal);
    written = await readVerdicts(parts);
  }
  if (written === undefined) return;
  const listRows = (): OwnRow[] =>
    quarantine
      .listVerdicts()
      .filter(({ part }) => peers.directory.hasRole(`verdict on ${part}`))
      .map(({ part, generation, state, at }) => {
        const wallClockTime = clock.wallClockTime() - (clock.monotonicTime() - at);
        const verdict = { generation, state, at: Math.round(wallClockTime) };
        return {
          key: part,
          content: describeVerdict(generation, state),
          value: Buffer.from(JSON.stringify(verdict)),
        };
      });
  const event = "verdict stored";
  await keepOwnRows({ store, table, clock, logger, event, listRows, written }, signal);
}

async function readVerdicts({
  quarantine,
  store,
  table,
  clock,
  logger,
}: QuarantineParts): Promise<OwnRowsOptions["written"]> {
  const snapshot = await store.readTable(table);
  if (snapshot.isErr) {
    logger.warn("reading verdicts from the store failed", { reason: snapshot.error });
    return undefined;
  }
  const contents = new Map<string, string>();
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
    contents.set(part, describeVerdict(generation, state));
    // The wall clock may have been set back since.
    return [{ part, generation, state, age: Math.max(0, clock.wallClockTime() - at) }];
  });
  if (verdicts.length > 0) {
    quarantine.merge({ records: [], verdicts }, clock.monotonicTime());
    logger.info("verdicts read from the store", { parts: verdicts.map(({ part }) => part) });
  }
  return { era: snapshot.value.era, contents };
}

function describeVerdict(generation: number, state: VerdictState): string {
  return `${generation} ${state}`;
}
