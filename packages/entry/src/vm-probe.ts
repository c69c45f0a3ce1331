//! Probes of an entry VM by the ones that would take its role. One failed probe proves little: the
//! link or this entry VM may be at fault. So others are asked to probe it too, and it counts as dead
//! only if one of them has answered and none has reached it.
import { validate, type Milliseconds } from "@lovagebend/common";
import * as z from "zod";
import type { RoleClaim } from "./role-claims.js";

const probeMethod = "probeRole";
const relayMethod = "relayProbe";
// A round trip takes some milliseconds. A process that is short of processor time answers within
// the second timeout, and it has the time of both.
const probeTimeout: Milliseconds = 150;
const repeatTimeout: Milliseconds = 300;
const relayCount = 3;

const nameSchema = z.string().min(1).max(200);
const probeSchema = z.object({
  claim: z.object({ owner: nameSchema, term: z.number().int().nonnegative() }).optional(),
});
const replySchema = z.object({ holds: z.boolean(), term: z.number().int().nonnegative() });
const relaySchema = z.object({ name: nameSchema });
const relayReplySchema = z.object({ isReached: z.boolean() });

/// The state of the role at the probed entry VM: whether it holds it, and the highest term that it
/// knows of.
export type RoleReply = z.output<typeof replySchema>;

// An entry VM of an older version holds the role by its rank, and doesn't know the method.
const olderVersionReply: RoleReply = { holds: true, term: 0 };

/// `dead`: nobody reaches the entry VM. `unclear`: this one doesn't, and others reach it or don't
/// answer, or this one was delayed.
export type ProbeResult =
  { readonly kind: "alive"; readonly reply: RoleReply } | { readonly kind: "dead" | "unclear" };

/// The calls between entry VMs that probes need. A call returns `undefined` if the other one doesn't
/// answer, and `null` if it doesn't know the method.
export interface ProbePeers {
  registerMethod(method: string, handler: (parameters: unknown) => unknown): void;
  callPeer(name: string, method: string, parameters: object, signal: AbortSignal): Promise<unknown>;
  callLivePeers(
    method: string,
    parameters: object,
    count: number,
    signal: AbortSignal,
  ): readonly Promise<unknown>[];
}

export class VmProbe {
  private delayCount = 0;

  /// `answer` is called for probes of this entry VM, with the claim that the prober knows of.
  constructor(
    ownName: string,
    private readonly peers: ProbePeers,
    answer: (claim: RoleClaim | undefined) => RoleReply,
  ) {
    peers.registerMethod(probeMethod, (parameters) => {
      const probe = validate(probeSchema, parameters);
      return answer(probe.isOk ? probe.value.claim : undefined);
    });
    peers.registerMethod(relayMethod, async (parameters) => {
      const relay = validate(relaySchema, parameters);
      // This entry VM may itself be the one whose probes fail.
      if (relay.isErr || relay.value.name === ownName) return { isReached: true };
      const { delayCount } = this;
      const reply = await this.send(relay.value.name, undefined, probeTimeout);
      if (reply === undefined && delayCount !== this.delayCount) throw new Error("probe delayed");
      return { isReached: reply !== undefined };
    });
  }

  /// Has failures of the probes in progress left out of account, since this process was delayed: the
  /// timeout of a probe comes before an answer that has arrived meanwhile.
  recordDelay(): void {
    this.delayCount += 1;
  }

  /// Probes `name`, and has others probe it if it doesn't answer. Without `hasOthers` there is nobody
  /// to ask, and the own probes decide.
  async run(name: string, hasOthers: boolean): Promise<ProbeResult> {
    const { delayCount } = this;
    const first = await this.send(name, undefined, probeTimeout);
    if (first !== undefined) return { kind: "alive", reply: first };
    const relays = this.peers.callLivePeers(
      relayMethod,
      { name },
      relayCount,
      AbortSignal.timeout(repeatTimeout),
    );
    const [second, replies] = await Promise.all([
      this.send(name, undefined, repeatTimeout),
      Promise.all(relays),
    ]);
    if (second !== undefined) return { kind: "alive", reply: second };
    const statements = replies.flatMap((reply) => {
      const read = validate(relayReplySchema, reply);
      return read.isOk ? [read.value] : [];
    });
    const isReached = statements.some((statement) => statement.isReached);
    const hasEvidence = statements.length > 0 || !hasOthers;
    const wasDelayed = delayCount !== this.delayCount;
    return { kind: !isReached && hasEvidence && !wasDelayed ? "dead" : "unclear" };
  }

  /// Tells `name` of a claim without waiting for its answer.
  async tell(name: string, claim: RoleClaim): Promise<void> {
    await this.send(name, claim, probeTimeout);
  }

  private async send(
    name: string,
    claim: RoleClaim | undefined,
    timeout: Milliseconds,
  ): Promise<RoleReply | undefined> {
    const parameters = claim === undefined ? {} : { claim };
    const signal = AbortSignal.timeout(timeout);
    const answer = await this.peers.callPeer(name, probeMethod, parameters, signal);
    if (answer === null) return olderVersionReply;
    const reply = validate(replySchema, answer);
    return reply.isOk ? reply.value : undefined;
  }
}
