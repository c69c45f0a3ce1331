//! Keeps the limits that targets name, together with the other entry VMs. The limits spread by
//! gossip. For each target one entry VM, by rendezvous hashing, grants the requests of all.
import type { LimitOutcome, RequestLimiter, TargetProcess } from "@lovagebend/attempts";
import { validate, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import {
  getGrantSize,
  HeldGrants,
  NamedLimits,
  RequestGranter,
  type Grant,
  type NamedLimit,
} from "@lovagebend/limits";
import * as z from "zod";

const grantMethod = "grantRequests";
// Without a grant within this time, another target is used.
const grantTimeout: Milliseconds = 100;
// How long a target is left alone when the entry VM that grants its requests does not answer.
const failedGrantPause: Milliseconds = 200;

const grantRequestSchema = z.object({
  target: z.string().max(200),
  born: z.number(),
  limit: z.number().nonnegative(),
  wanted: z.number().int().positive(),
});
const grantSchema = z.object({
  granted: z.number().int().nonnegative(),
  retryAfter: z.number().nonnegative(),
});
const limitFactsSchema = z.array(
  z.object({
    target: z.string().max(200),
    born: z.number(),
    limit: z.number().nonnegative().nullable(),
    age: z.number().nonnegative(),
  }),
);

/// The limits that an entry VM has lately confirmed, as a fact for its peers. `limit` is `null`
/// if the target no longer names one; ages are in milliseconds.
export type LimitFacts = z.output<typeof limitFactsSchema>;

/// The calls between entry VMs that the limiter needs.
export interface GrantPeers {
  registerMethod(method: string, handler: (parameters: unknown) => unknown): void;
  /// Calls the entry VM that holds `role`; `undefined` if it does not answer. `own` is called
  /// instead if this entry VM holds it.
  callRoleHolder(
    role: string,
    method: string,
    parameters: object,
    timeout: Milliseconds,
    own: () => unknown,
  ): Promise<unknown>;
}

export class SharedRequestLimiter implements RequestLimiter {
  private readonly limits = new NamedLimits();
  private readonly granter = new RequestGranter();
  private readonly held = new HeldGrants();
  private peers: GrantPeers | undefined;
  /// Called when a limit has changed, so that peers should receive it.
  onChange: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Must be called once, before the first request.
  connect(peers: GrantPeers): void {
    this.peers = peers;
    peers.registerMethod(grantMethod, (parameters) => {
      const request = validate(grantRequestSchema, parameters);
      if (request.isErr) return { granted: 0, retryAfter: failedGrantPause };
      const { target, born, limit, wanted } = request.value;
      return this.grant(target, born, limit, wanted);
    });
  }

  check({ name, born }: TargetProcess): LimitOutcome {
    if (this.limits.getLimit(name, born) === undefined) return { kind: "allowed" };
    const retryAfter = this.held.getRetryAfter(name, born, this.clock.monotonicTime());
    return retryAfter === undefined ? { kind: "allowed" } : { kind: "denied", retryAfter };
  }

  async acquire({ name, born }: TargetProcess): Promise<LimitOutcome> {
    const limit = this.limits.getLimit(name, born);
    if (limit === undefined) return { kind: "allowed" };
    const local = this.held.take(name, born, this.clock.monotonicTime());
    switch (local.kind) {
      case "granted":
        return { kind: "allowed" };
      case "denied":
        return local;
      case "unknown":
        break;
    }
    const grant = await this.requestGrant(name, born, limit);
    this.held.record(name, born, grant, this.clock.monotonicTime());
    return grant.granted > 0
      ? { kind: "allowed" }
      : { kind: "denied", retryAfter: grant.retryAfter };
  }

  recordAnswer(
    { name, born }: TargetProcess,
    header: string | undefined,
    sentAt: Milliseconds,
  ): void {
    const now = this.clock.monotonicTime();
    const before = this.limits.getLimit(name, born);
    if (!this.limits.recordAnswer(name, born, header, sentAt, now)) return;
    const limit = this.limits.getLimit(name, born);
    this.logger.info("target request limit changed", { target: name, born, before, limit, header });
    this.onChange();
  }

  /// The limits for the peers of this entry VM.
  describeLimits(): LimitFacts {
    const now = this.clock.monotonicTime();
    return this.limits.listOwn(now).map(({ target, born, limit, at }) => ({
      target,
      born,
      limit: limit ?? null,
      age: Math.round(now - at),
    }));
  }

  /// Merges the limits of a peer, which are `age` old. Returns whether one has changed.
  mergeLimits(facts: unknown, age: Milliseconds): boolean {
    const valid = validate(limitFactsSchema, facts);
    if (valid.isErr) return false;
    const now = this.clock.monotonicTime();
    return valid.value
      .map(({ limit, age: ownAge, ...process }): NamedLimit => {
        return { ...process, limit: limit ?? undefined, at: now - age - ownAge };
      })
      .map((named) => this.limits.merge(named))
      .includes(true);
  }

  /// Forgets the targets for which `isListed` returns false.
  retain(isListed: (target: string) => boolean): void {
    this.limits.retain(isListed);
    this.granter.retain(isListed);
    this.held.retain(isListed);
  }

  private async requestGrant(target: string, born: number, limit: number): Promise<Grant> {
    const wanted = getGrantSize(limit);
    const reply = await this.peers?.callRoleHolder(
      `grants for ${target}`,
      grantMethod,
      { target, born, limit, wanted },
      grantTimeout,
      () => this.grant(target, born, limit, wanted),
    );
    const grant = validate(grantSchema, reply);
    if (grant.isOk) return grant.value;
    this.logger.info("no grant of requests", { target, retryAfter: failedGrantPause });
    return { granted: 0, retryAfter: failedGrantPause };
  }

  // The limit that this entry VM knows may be newer than that of the one that asks.
  private grant(target: string, born: number, limit: number, wanted: number): Grant {
    const known = this.limits.getLimit(target, born) ?? limit;
    const now = this.clock.monotonicTime();
    return this.granter.grant(target, born, Math.min(known, limit), wanted, now);
  }
}
