//! The schema of the start-up file of a daemon: its instance name, its addresses and those
//! of its peers and the platform, and the keys.
import { parseJson, type ValidationIssue } from "@lovagebend/common";
import type { Result } from "true-myth";
import { z } from "zod";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "a name of a-z, 0-9 and -");
const hostSchema = z.union([z.ipv4(), z.ipv6()], "an IP address");
const portSchema = z.number("a port number").int().min(0).max(65_535);
const addressSchema = z.strictObject({ host: hostSchema, port: portSchema });
const keySchema = z.string("a key of 16 characters or more").min(16).max(200);

const startUpFileSchema = z.strictObject({
  instance: nameSchema,
  dataCentre: nameSchema,
  callers: addressSchema,
  control: addressSchema,
  platformUrl: z.url({ protocol: /^http$/, error: "a URL such as http://10.0.0.1:7000" }),
  peers: z.array(
    z.strictObject({
      name: nameSchema,
      dataCentre: nameSchema,
      host: hostSchema,
      port: portSchema,
    }),
  ),
  keys: z.strictObject({ peer: keySchema, resume: keySchema }),
  operators: z.array(
    z.strictObject({
      name: nameSchema,
      keyDigest: z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in hexadecimal"),
      teams: z.array(z.union([nameSchema, z.literal("*")])),
    }),
  ),
  metrics: addressSchema.optional(),
  unreadyMilliseconds: z.number().int().min(0).max(60_000).default(2_000),
});

/// `control` is the address for operators and peers. `unreadyMilliseconds` is how long a
/// stopping daemon accepts requests after it reports unready, so that the load balancer can
/// detect this. An operator's `teams` are the subtrees it may change; `*` stands for all.
export type StartUpFile = z.output<typeof startUpFileSchema>;
export type PeerAddress = StartUpFile["peers"][number];

/// Parses and validates the text of a start-up file.
export function parseStartUpFile(text: string): Result<StartUpFile, ValidationIssue[]> {
  return parseJson(startUpFileSchema as z.ZodType<StartUpFile>, text);
}
