//! The messages with which entry VMs make their quarantines equal. An exchange opens with a digest.
//! If the receiver's differs, it answers with a summary of its crash records. The opener sends the
//! records that the summary lacks or has otherwise, and requests those that itself lacks.
import { createHash } from "node:crypto";
import * as z from "zod";
import { PartStatus, type CrashRecord } from "./crash-records.js";
import { VerdictState, type Verdict } from "./verdicts.js";

// A generation takes five minutes at least. The next one must still be a valid number.
const maximumGeneration = 1_000_000;

const recordSchema = z.object({
  crash: z.string().max(200),
  age: z.number().min(0),
  parts: z
    .array(z.tuple([z.string().max(64), z.enum(PartStatus), z.number().int().min(0)]))
    .max(128),
});
/// A verdict as it is sent or stored.
export const verdictSchema = z.object({
  part: z.string().max(64),
  generation: z.number().int().positive().max(maximumGeneration),
  state: z.enum(VerdictState),
  age: z.number().min(0),
});
const stateSchema = z.object({
  records: z.array(recordSchema).max(64),
  verdicts: z.array(verdictSchema).max(1_024),
});
const summarySchema = z.object({
  verdicts: z.string().max(64),
  records: z.record(z.string().max(200), z.string().max(64)),
});
export const exchangeSchema = z.object({
  digest: z.string().max(64),
  summary: summarySchema.optional(),
  requested: summarySchema.optional(),
  state: stateSchema.optional(),
});

/// Crash records and verdicts as they are sent to a peer or stored. Ages in milliseconds are
/// relative to the sending, because the clocks of different VMs are never compared.
export type QuarantineState = z.output<typeof stateSchema>;

/// Digests of all verdicts together and of each crash record, by crash.
export type QuarantineSummary = z.output<typeof summarySchema>;

/// One side of an exchange. `requested` is the sender's summary of the records that differ from the
/// receiver's summary; the digest of a record that the sender lacks is empty.
export type QuarantineExchange = z.output<typeof exchangeSchema>;

const digestLength = 12;
const recordDigests = new WeakMap<CrashRecord, string>();

/// Equal for records with the same content, regardless of their ages.
export function digestRecord(record: CrashRecord): string {
  const known = recordDigests.get(record);
  if (known !== undefined) return known;
  const described = [...record.parts].map(
    ([part, { status, position }]) => `${part} ${status} ${position}`,
  );
  const digested = digest([record.crash, ...described.sort()]);
  recordDigests.set(record, digested);
  return digested;
}

/// Equal for the same verdicts, regardless of their ages.
export function digestVerdicts(verdicts: readonly Verdict[]): string {
  return digest(
    verdicts.map(({ part, generation, state }) => `${part} ${generation} ${state}`).sort(),
  );
}

/// Equal for equal summaries.
export function digestSummary({ verdicts, records }: QuarantineSummary): string {
  return digest([verdicts, ...Object.values(records).sort()]);
}

/// The part of `own` that differs from the summary of a peer. A record that only the peer has gets an
/// empty digest.
export function findDifferences(
  own: QuarantineSummary,
  other: QuarantineSummary,
): QuarantineSummary {
  const crashes = new Set([...Object.keys(own.records), ...Object.keys(other.records)]);
  const differing = [...crashes].filter((crash) => own.records[crash] !== other.records[crash]);
  return {
    verdicts: own.verdicts,
    records: Object.fromEntries(differing.map((crash) => [crash, own.records[crash] ?? ""])),
  };
}

function digest(lines: readonly string[]): string {
  return createHash("sha1").update(JSON.stringify(lines)).digest("base64").slice(0, digestLength);
}
