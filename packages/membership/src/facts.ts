//! The facts that entry VMs state to each other, and how they are checked when they
//! arrive.
import type { GossipEntry } from "./gossip-state.js";
import { z } from "zod";

/// The keys under which facts are stated; a load fact is `load/<target>`.
export const entryFact = "entry";
export const demandFact = "demand";
export const leavingFact = "leaving";
export const loadFactPrefix = "load/";

const entryValue = z.object({
  dataCentre: z.string(),
  revision: z.number().int(),
  confirmedAge: z.number().nullable(),
  stopping: z.boolean(),
});
const loadValue = z.object({
  load: z.object({
    queuedTokens: z.number().min(0),
    openSequences: z.number().min(0),
    tokensPerSecond: z.number().min(0),
    leaving: z.boolean(),
  }),
  latency: z.number().min(0),
});
const demandValue = z.record(z.string(), z.record(z.string(), z.number().min(0)));
const leavingValue = z.array(z.object({ name: z.string(), revision: z.number().int() }));

/// `confirmedAge` is how long ago the platform confirmed `revision`, `null` if never.
export type EntryValue = z.output<typeof entryValue>;
export type LoadValue = z.output<typeof loadValue>;
/// Tokens a second that each workspace asks for, by group.
export type DemandValue = z.output<typeof demandValue>;

/// A fact with its key told apart and its value checked.
export type Fact =
  | { readonly kind: "entry"; readonly value: EntryValue }
  | { readonly kind: "load"; readonly target: string; readonly value: LoadValue }
  | { readonly kind: "demand"; readonly value: DemandValue }
  | { readonly kind: "leaving"; readonly value: z.output<typeof leavingValue> };

const gossipEntry = z.object({
  owner: z.string().max(100),
  key: z.string().max(200),
  incarnation: z.number().int(),
  version: z.number().int(),
  age: z.number().min(0),
  value: z.unknown(),
});
export const gossipEntries = z.array(gossipEntry).max(10_000) as z.ZodType<GossipEntry[]>;

/// Reads a fact; `undefined` where it is not understood.
export function readFact(entry: GossipEntry): Fact | undefined {
  if (entry.key === entryFact)
    return wrap(entryValue, entry, (value) => ({ kind: "entry", value }));
  if (entry.key === demandFact)
    return wrap(demandValue, entry, (value) => ({ kind: "demand", value }));
  if (entry.key === leavingFact)
    return wrap(leavingValue, entry, (value) => ({ kind: "leaving", value }));
  if (!entry.key.startsWith(loadFactPrefix)) return undefined;
  const target = entry.key.slice(loadFactPrefix.length);
  return wrap(loadValue, entry, (value) => ({ kind: "load", target, value }));
}

function wrap<T>(
  schema: z.ZodType<T>,
  entry: GossipEntry,
  build: (value: T) => Fact,
): Fact | undefined {
  const parsed = schema.safeParse(entry.value);
  return parsed.success ? build(parsed.data) : undefined;
}
