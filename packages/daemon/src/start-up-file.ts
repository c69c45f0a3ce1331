//! The file a daemon starts from: who it is, where it and its peers listen, where
//! the platform is, and the keys.
import { parseJson, type ValidationIssue } from "@lovagebend/common";
import type { Result } from "true-myth";
import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "a name of a-z, 0-9 and -");
const host = z.union([z.ipv4(), z.ipv6()], "an IP number");
const port = z.number("a port number").int().min(0).max(65_535);
const address = z.strictObject({ host, port });
const key = z.string("a key of 16 characters or more").min(16).max(200);

const startUpFile = z.strictObject({
  instance: name,
  dataCentre: name,
  callers: address,
  control: address,
  platformUrl: z.url({ protocol: /^http$/, error: "a URL such as http://10.0.0.1:7000" }),
  peers: z.array(z.strictObject({ name, dataCentre: name, host, port })),
  keys: z.strictObject({ peer: key, resume: key }),
  operators: z.array(
    z.strictObject({
      name,
      keyDigest: z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in hexadecimal"),
      teams: z.array(z.union([name, z.literal("*")])),
    }),
  ),
  metrics: address.optional(),
  unreadyMilliseconds: z.number().int().min(0).max(60_000).default(2_000),
});

/// `control` serves operators and peers. `unreadyMilliseconds` is how long a stopping
/// daemon goes on taking requests after it reports unready, so that the balancer can
/// notice. An operator's `teams` are the subtrees it may change; `*` stands for all.
export type StartUpFile = z.output<typeof startUpFile>;
export type PeerAddress = StartUpFile["peers"][number];

/// Parses and checks the text of a start-up file.
export function parseStartUpFile(text: string): Result<StartUpFile, ValidationIssue[]> {
  return parseJson(startUpFile as z.ZodType<StartUpFile>, text);
}
