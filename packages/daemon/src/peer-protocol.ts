//! The JSON-RPC calls between entry VMs, over HTTP: gossip, settings and burn counts. Both
//! sides validate what they receive.
import { BurnCounts, type BurnSnapshot } from "@lovagebend/burn";
import { exchangeJsonWithRetry, validate, type Milliseconds } from "@lovagebend/common";
import { SettingsState } from "@lovagebend/settings";
import { JSONRPCClient, JSONRPCServer, type JSONRPCResponse } from "json-rpc-2.0";
import { z } from "zod";
import { gossipDigestSchema, gossipEntriesSchema, type GossipDigest } from "@lovagebend/membership";
import type { ClusterMembership } from "@lovagebend/membership";
import type { SettingsReplica } from "@lovagebend/settings";
import type { PeerAddress } from "./start-up-file.js";

const gossipRequestSchema = z.object({ digest: gossipDigestSchema });
const gossipReplySchema = z.object({ entries: gossipEntriesSchema, revision: z.number().int() });
const settingsRequestSchema = z.object({ since: z.number().int() });
const settingsReplySchema = z.object({
  revision: z.number().int(),
  whole: z.boolean(),
  changes: z.array(
    z.object({
      revision: z.number().int(),
      team: z.string(),
      author: z.string(),
      time: z.string(),
      nonce: z.string(),
      document: z.unknown(),
    }),
  ),
});

export type GossipReply = z.output<typeof gossipReplySchema>;

const callTimeout: Milliseconds = 1_000;

/// Creates the server for the calls of peers. An invalid call is answered with a JSON-RPC
/// error and changes nothing.
export function createPeerServer(
  membership: ClusterMembership,
  settings: SettingsReplica,
  burn: BurnCounts,
  now: () => Milliseconds,
): JSONRPCServer {
  const server = new JSONRPCServer();
  server.addMethod("gossip", (parameters: unknown): GossipReply => {
    const { digest } = gossipRequestSchema.parse(parameters);
    const entries = membership.gossip.newerThan(digest, now());
    return { entries, revision: settings.state.revision };
  });
  server.addMethod("settings", (parameters: unknown) => {
    const { since } = settingsRequestSchema.parse(parameters);
    const changes = settings.state.changesSince(since);
    const whole = changes === undefined;
    return {
      revision: settings.state.revision,
      whole,
      changes: changes ?? [...settings.state.teams.values()],
    };
  });
  server.addMethod("burn", () => burn.snapshot());
  return server;
}

/// Calls one peer. Each call resolves to `undefined` if the peer does not answer or its
/// answer is invalid.
export class PeerClient {
  private readonly client: JSONRPCClient;

  constructor(
    readonly address: PeerAddress,
    peerKey: string,
  ) {
    this.client = new JSONRPCClient(async (payload) => {
      const answer = await exchangeJsonWithRetry({
        url: `http://${address.host}:${address.port}/rpc`,
        method: "POST",
        body: payload,
        headers: { authorization: `Bearer ${peerKey}` },
        timeout: callTimeout,
      });
      if (answer.isErr) throw new Error(answer.error.reason);
      if (answer.value.status !== 200) throw new Error(`status ${answer.value.status}`);
      this.client.receive(answer.value.body as JSONRPCResponse);
    });
  }

  /// Fetches the facts that are newer at the peer than in `digest`, and the revision of the
  /// peer's settings.
  fetchGossip(digest: GossipDigest): Promise<GossipReply | undefined> {
    return this.call("gossip", { digest }, gossipReplySchema);
  }

  /// Fetches the peer's settings: its whole state, or `known` with the later changes
  /// applied.
  async fetchSettings(known: SettingsState): Promise<SettingsState | undefined> {
    const reply = await this.call("settings", { since: known.revision }, settingsReplySchema);
    if (reply === undefined) return undefined;
    if (reply.whole) return SettingsState.of(reply.revision, reply.changes);
    return known.withChanges(reply.changes);
  }

  async fetchBurnCounts(): Promise<BurnSnapshot | undefined> {
    return this.call(
      "burn",
      {},
      z.custom<BurnSnapshot>((value) => typeof value === "object"),
    );
  }

  private async call<T>(
    method: string,
    parameters: object,
    schema: z.ZodType<T>,
  ): Promise<T | undefined> {
    try {
      const reply: unknown = await this.client.request(method, parameters);
      const parsed = validate(schema, reply);
      return parsed.isOk ? parsed.value : undefined;
    } catch {
      return undefined;
    }
  }
}
