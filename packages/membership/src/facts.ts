//! Schemas of the facts that entry VMs exchange by gossip, and the validation of facts
//! received from peers.
import { loadReportSchema } from "./fleet-view.js";
import type { GossipEntry } from "./gossip-state.js";
import { z } from "zod";

/// The keys under which facts are published.
export const entryKey = "entry";
export const demandKey = "demand";
export const leavingKey = "leaving";
export const loadsKey = "loads";

const entryValueSchema = z.object({
  dataCentre: z.string(),
  revision: z.number().int(),
  confirmedAge: z.number().nullable(),
  stopping: z.boolean(),
});
const loadValueSchema = z.object({
  load: loadReportSchema,
  latency: z.number().min(0),
  age: z.number().min(0),
  failures: z.number().int().min(0),
});
const loadsValueSchema = z.record(z.string(), loadValueSchema);
const demandValueSchema = z.record(z.string(), z.record(z.string(), z.number().min(0)));
const leavingValueSchema = z.array(z.object({ name: z.string(), revision: z.number().int() }));

/// `confirmedAge` is the time in milliseconds since the platform confirmed `revision`, `null`
/// if it never did.
export type EntryValue = z.output<typeof entryValueSchema>;
/// A prober's latest result for a target: the load of the last answer, the age of that answer
/// when the fact was published, and the number of failed calls since. Times in milliseconds.
export type LoadValue = z.output<typeof loadValueSchema>;
/// The probe results of the owner of the fact, by target name.
export type LoadsValue = z.output<typeof loadsValueSchema>;
/// Requested tokens per second, by group and then by workspace.
export type DemandValue = z.output<typeof demandValueSchema>;

/// A parsed fact, with its key as the discriminator and its value validated.
export type Fact =
  | { readonly kind: "entry"; readonly value: EntryValue }
  | { readonly kind: "loads"; readonly value: LoadsValue }
  | { readonly kind: "demand"; readonly value: DemandValue }
  | { readonly kind: "leaving"; readonly value: z.output<typeof leavingValueSchema> };

const gossipEntrySchema = z.object({
  owner: z.string().max(100),
  key: z.string().max(200),
  version: z.number().int(),
  age: z.number().min(0),
  value: z.unknown(),
});
export const gossipDigestSchema = z.record(z.string().max(100), z.number());
export const gossipEntriesSchema = z.array(gossipEntrySchema).max(10_000) as z.ZodType<
  GossipEntry[]
>;

/// Parses a fact; `undefined` where its key is unknown or its value is invalid.
export function parseFact(entry: GossipEntry): Fact | undefined {
  if (entry.key === entryKey)
    return parseValue(entryValueSchema, entry, (value) => ({ kind: "entry", value }));
  if (entry.key === demandKey)
    return parseValue(demandValueSchema, entry, (value) => ({ kind: "demand", value }));
  if (entry.key === leavingKey)
    return parseValue(leavingValueSchema, entry, (value) => ({ kind: "leaving", value }));
  if (entry.key === loadsKey)
    return parseValue(loadsValueSchema, entry, (value) => ({ kind: "loads", value }));
  return undefined;
}

function parseValue<T>(
  schema: z.ZodType<T>,
  entry: GossipEntry,
  toFact: (value: T) => Fact,
): Fact | undefined {
  const parsed = schema.safeParse(entry.value);
  return parsed.success ? toFact(parsed.data) : undefined;
}
