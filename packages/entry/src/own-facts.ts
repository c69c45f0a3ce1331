//! The facts that this entry VM publishes about itself by gossip.
import type { TargetLinks } from "@lovagebend/attempts";
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { GossipState } from "@lovagebend/membership";
import type { EntryIdentity } from "./entry-dependencies.js";
import type { EntryVmDirectory } from "./entry-vm-directory.js";
import { factKeys } from "./peer-message-schema.js";
import type { VmFact } from "./peer-message.js";
import type { ReplicatedState } from "./replicated-state.js";
import type { SharedRequestLimiter } from "./shared-request-limiter.js";

const publishInterval: Milliseconds = 1_000;

export class OwnFacts {
  private publishedAt: Milliseconds = -Infinity;

  constructor(
    private readonly identity: EntryIdentity,
    private readonly gossip: GossipState,
    private readonly directory: EntryVmDirectory,
    private readonly replicatedState: ReplicatedState,
    private readonly requestLimiter: SharedRequestLimiter,
    private readonly targetLinks: Pick<TargetLinks, "listLost">,
    private readonly clock: Clock,
  ) {}

  /// Has all facts published with the next exchange.
  makeDue(): void {
    this.publishedAt = -Infinity;
  }

  /// Publishes the suspicions, and once a second the other facts.
  publish(): void {
    const now = this.clock.monotonicTime();
    const suspectedTargets = this.replicatedState.targetRegistry.getSuspectedTargets();
    if (suspectedTargets.length > 0)
      this.gossip.publish(factKeys.suspicions, suspectedTargets, now);
    if (now - this.publishedAt < publishInterval) return;
    this.publishedAt = now;
    const limits = this.requestLimiter.describeLimits();
    if (limits.length > 0) this.gossip.publish(factKeys.limits, limits, now);
    this.gossip.publish(factKeys.vm, this.describeSelf(), now);
  }

  /// What this entry VM says of itself, by gossip and in the store.
  describeSelf(): VmFact {
    const { peers, dataCentre } = this.identity;
    const { isStopping } = this.directory;
    const lostServices = this.targetLinks.listLost();
    return {
      address: `${peers.host}:${peers.port}`,
      dataCentre,
      isStopping,
      acceptsRelayed: true,
      ...(lostServices.length === 0 ? {} : { lostServices }),
    };
  }
}
