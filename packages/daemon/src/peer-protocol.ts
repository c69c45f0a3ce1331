//! The calls between entry VMs, JSON-RPC over HTTP, checked on both sides.
import { BurnCounts, type BurnSnapshot } from "@lovagebend/burn";
import { exchangeJsonRepeatable, validate, type Milliseconds } from "@lovagebend/common";
import { SettingsState } from "@lovagebend/settings";
import { JSONRPCClient, JSONRPCServer, type JSONRPCResponse } from "json-rpc-2.0";
import { z } from "zod";
import { gossipDigest, gossipEntries, type GossipDigest } from "@lovagebend/membership";
import type { Neighbourhood } from "@lovagebend/membership";
import type { SettingsKeeper } from "@lovagebend/settings";
import type { PeerAddress } from "./start-up-file.js";

const gossipRequest = z.object({ digest: gossipDigest });
const gossipReply = z.object({ entries: gossipEntries, revision: z.number().int() });
const settingsRequest = z.object({ since: z.number().int() });
const settingsReply = z.object({
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

export type GossipReply = z.output<typeof gossipReply>;

const callTimeout: Milliseconds = 1_000;

/// Serves the calls of peers. A call that is not understood is answered with a
/// JSON-RPC error and changes nothing.
export function peerServer(
  neighbourhood: Neighbourhood,
  settings: SettingsKeeper,
  burn: BurnCounts,
  now: () => Milliseconds,
): JSONRPCServer {
  const server = new JSONRPCServer();
  server.addMethod("gossip", (parameters: unknown): GossipReply => {
    const { digest } = gossipRequest.parse(parameters);
    const entries = neighbourhood.gossip.newerThan(digest, now());
    return { entries, revision: settings.state.revision };
  });
  server.addMethod("settings", (parameters: unknown) => {
    const { since } = settingsRequest.parse(parameters);
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

/// The calls to one peer. Each resolves to `undefined` when the peer does not answer
/// or is not understood.
export class PeerClient {
  private readonly client: JSONRPCClient;

  constructor(
    readonly address: PeerAddress,
    peerKey: string,
  ) {
    this.client = new JSONRPCClient(async (payload) => {
      const answer = await exchangeJsonRepeatable({
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

  /// The facts that the peer has and this entry VM lacks, and the peer's revision.
  gossip(digest: GossipDigest): Promise<GossipReply | undefined> {
    return this.call("gossip", { digest }, gossipReply);
  }

  /// The peer's state, or the changes that lead from `known` to it.
  async settings(known: SettingsState): Promise<SettingsState | undefined> {
    const reply = await this.call("settings", { since: known.revision }, settingsReply);
    if (reply === undefined) return undefined;
    if (reply.whole) return SettingsState.of(reply.revision, reply.changes);
    return known.with(reply.changes);
  }

  async burn(): Promise<BurnSnapshot | undefined> {
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
      const checked = validate(schema, reply);
      return checked.isOk ? checked.value : undefined;
    } catch {
      return undefined;
    }
  }
}
