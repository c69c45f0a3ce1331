//! The facts that entry VMs state to each other, and how they are checked when they
//! arrive.
import { loadReport } from "./fleet-view.js";
import type { GossipEntry } from "./gossip-state.js";
import { z } from "zod";

/// The keys under which facts are stated.
export const entryFact = "entry";
export const demandFact = "demand";
export const leavingFact = "leaving";
export const loadsFact = "loads";

const entryValue = z.object({
  dataCentre: z.string(),
  revision: z.number().int(),
  confirmedAge: z.number().nullable(),
  stopping: z.boolean(),
});
const loadValue = z.object({
  load: loadReport,
  latency: z.number().min(0),
  age: z.number().min(0),
  failures: z.number().int().min(0),
});
const loadsValue = z.record(z.string(), loadValue);
const demandValue = z.record(z.string(), z.record(z.string(), z.number().min(0)));
const leavingValue = z.array(z.object({ name: z.string(), revision: z.number().int() }));

/// `confirmedAge` is how long ago the platform confirmed `revision`, `null` if never.
export type EntryValue = z.output<typeof entryValue>;
/// What the prober of a target knows of it: the last answer, its age when it was stated,
/// and how many calls have failed since.
export type LoadValue = z.output<typeof loadValue>;
/// Load by target, for the targets that the owner probes.
export type LoadsValue = z.output<typeof loadsValue>;
/// Tokens a second that each workspace asks for, by group.
export type DemandValue = z.output<typeof demandValue>;

/// A fact with its key told apart and its value checked.
export type Fact =
  | { readonly kind: "entry"; readonly value: EntryValue }
  | { readonly kind: "loads"; readonly value: LoadsValue }
  | { readonly kind: "demand"; readonly value: DemandValue }
  | { readonly kind: "leaving"; readonly value: z.output<typeof leavingValue> };

const gossipEntry = z.object({
  owner: z.string().max(100),
  key: z.string().max(200),
  version: z.number().int(),
  age: z.number().min(0),
  value: z.unknown(),
});
export const gossipDigest = z.record(z.string().max(100), z.number());
export const gossipEntries = z.array(gossipEntry).max(10_000) as z.ZodType<GossipEntry[]>;

/// Reads a fact; `undefined` where it is not understood.
export function readFact(entry: GossipEntry): Fact | undefined {
  if (entry.key === entryFact)
    return wrap(entryValue, entry, (value) => ({ kind: "entry", value }));
  if (entry.key === demandFact)
    return wrap(demandValue, entry, (value) => ({ kind: "demand", value }));
  if (entry.key === leavingFact)
    return wrap(leavingValue, entry, (value) => ({ kind: "leaving", value }));
  if (entry.key === loadsFact)
    return wrap(loadsValue, entry, (value) => ({ kind: "loads", value }));
  return undefined;
}

function wrap<T>(
  schema: z.ZodType<T>,
  entry: GossipEntry,
  build: (value: T) => Fact,
): Fact | undefined {
  const parsed = schema.safeParse(entry.value);
  return parsed.success ? build(parsed.data) : undefined;
}
