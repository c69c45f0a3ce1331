//! Validates the messages of peers and the entries that entry VMs write about themselves. Peers
//! may run an older or a newer version, so unknown fields are kept as they are.
import { describeIssues, parseIpAddress, parseJson, validate } from "@lovagebend/common";
import type { GossipEntry } from "@lovagebend/membership";
import { isEra } from "@lovagebend/store";
import type { Result } from "true-myth";
import * as z from "zod";
import { placementFactSchema } from "./placement-fact.js";
import type { PeerMessage, TableVersions, VmFact, WireRow } from "./peer-message.js";

/// The keys of the facts that entry VMs publish.
export const factKeys = {
  vm: "vm",
  suspicions: "doubts",
  limits: "limits",
  placement: "placement",
} as const;

const maximumNameLength = 200;
const maximumSuspicions = 10_000;
const maximumServices = 1_000;
// Versions of facts start at the wall clock in milliseconds. This is some thousand years later.
const maximumFactVersion = 100_000_000_000_000;

// Names are used as the keys of objects.
const nameSchema = z
  .string()
  .min(1)
  .max(maximumNameLength)
  .refine((name) => !(name in Object.prototype), "a name");
const versionSchema = z.number().int().min(-1);
const durationSchema = z.number().min(0);
const viewAgesSchema = z.object({ document: durationSchema, targets: durationSchema });
const factVersionSchema = z.number().int().nonnegative().max(maximumFactVersion);
const factSchema = z.object({
  owner: nameSchema,
  key: nameSchema,
  version: factVersionSchema,
  age: durationSchema,
  value: z.unknown(),
});
const vmFactSchema = z.object({
  address: z
    .string()
    .refine((text) => parseIpAddress(text) !== undefined, "an IPv4 address and a port"),
  dataCentre: z.string().min(1).max(maximumNameLength),
  isStopping: z.boolean().default(false),
  acceptsRelayed: z.boolean().optional(),
  lostServices: z.array(z.string().max(maximumNameLength)).max(maximumServices).optional(),
});
const suspicionsSchema = z.array(z.string().max(maximumNameLength)).max(maximumSuspicions);
const rowSchema = z.object({
  key: z.string().max(maximumNameLength),
  version: z.number().int().nonnegative(),
  value: z.string().nullable(),
});
const versionsSchema = z.object({ document: versionSchema, targets: versionSchema });
const historySchema = z.object({ era: z.number().refine(isEra, "an era"), isWhole: z.boolean() });
const historiesSchema = z.object({ document: historySchema, targets: historySchema });
const settingsSchema = z.object({ version: versionSchema, value: z.string().nullable() });
const digestSchema = z.record(nameSchema, factVersionSchema);
const envelopeSchema = z.looseObject({
  digest: z.unknown(),
  versions: z.unknown(),
  facts: z.array(z.unknown()),
  rows: z.object({ document: z.array(z.unknown()), targets: z.array(z.unknown()) }),
  lapseGrace: z.unknown(),
  histories: z.unknown().optional(),
  settings: z.unknown().optional(),
  viewAges: z.unknown().optional(),
  withoutDocument: z.unknown().optional(),
  defersDocument: z.unknown().optional(),
});

const unknownVersions: TableVersions = { document: -1, targets: -1 };

/// Reads a message. Invalid parts are left out and described in `faults`. Returns an error if
/// it is no message.
export function readPeerMessage(
  value: unknown,
): Result<{ readonly message: PeerMessage; readonly faults: readonly string[] }, string> {
  return validate(envelopeSchema, value)
    .mapErr(describeIssues)
    .map((envelope) => {
      const faults: string[] = [];
      const readPart = <Part>(label: string, schema: z.ZodType<Part>, part: unknown) => {
        const read = validate(schema, part);
        if (read.isOk) return read.value;
        faults.push(`${label}: ${describeIssues(read.error)}`);
        return undefined;
      };
      const readParts = <Part>(
        label: string,
        schema: z.ZodType<Part>,
        parts: readonly unknown[],
      ): Part[] => parts.flatMap((part) => readPart(label, schema, part) ?? []);
      const facts = readParts<GossipEntry>("fact", factSchema, envelope.facts).filter(
        ({ key, value: fact }) => readPart(`fact ${key}`, findValueSchema(key), fact) !== undefined,
      );
      const versions = readPart("versions", versionsSchema, envelope.versions);
      const readOptional = <Part>(label: string, schema: z.ZodType<Part>, part: unknown) =>
        part === undefined ? undefined : readPart(label, schema, part);
      const histories = readOptional("histories", historiesSchema, envelope.histories);
      const settings = readOptional("settings", settingsSchema, envelope.settings);
      const areTablesValid =
        versions !== undefined && (envelope.histories === undefined || histories !== undefined);
      const readRows = (rows: readonly unknown[]): WireRow[] =>
        areTablesValid ? readParts("row", rowSchema, rows) : [];
      const message: PeerMessage = {
        ...envelope,
        digest: readPart("digest", digestSchema, envelope.digest) ?? {},
        versions: areTablesValid ? versions : unknownVersions,
        histories,
        settings,
        withoutDocument: readOptional("no document", z.boolean(), envelope.withoutDocument),
        defersDocument: readOptional("deferral", z.boolean(), envelope.defersDocument),
        viewAges: readOptional("ages of views", viewAgesSchema, envelope.viewAges),
        facts,
        rows: {
          document: readRows(envelope.rows.document),
          targets: readRows(envelope.rows.targets),
        },
        lapseGrace: readPart("grace", durationSchema, envelope.lapseGrace) ?? 0,
      };
      return { message, faults };
    });
}

/// Reads the entry of an entry VM in the store.
export function readVmFact(value: Buffer): Result<VmFact, string> {
  return parseJson(vmFactSchema, value.toString("utf8")).mapErr(describeIssues);
}

// The values of other keys are those of another version, and only passed on.
function findValueSchema(key: string): z.ZodType {
  switch (key) {
    case factKeys.vm:
      return vmFactSchema;
    case factKeys.suspicions:
      return suspicionsSchema;
    case factKeys.placement:
      return placementFactSchema;
    default:
      return z.unknown().refine((value) => value !== undefined, "a value");
  }
}
