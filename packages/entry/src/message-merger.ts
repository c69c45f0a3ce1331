//! Merges the messages of peers into what this entry VM knows, and says when something has changed
//! that others should hear of.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { GossipState } from "@lovagebend/membership";
import { LoadState } from "@lovagebend/placement";
import type { PromptQuarantine, QuarantineExchange } from "@lovagebend/quarantine";
import type { StoreEra } from "@lovagebend/store";
import { isEmptyTransfer, type ReceiverState } from "./message-composer.js";
import { factKeys } from "./peer-message-schema.js";
import type { PlacementFact } from "./placement-fact.js";
import { readTables, type PeerMessage } from "./peer-message.js";
import type { ReplicatedState } from "./replicated-state.js";
import type { SharedRequestLimiter } from "./shared-request-limiter.js";

// Covers the duration of the shortest suspicion plus the time that gossip takes to spread.
const maximumSuspicionAge: Milliseconds = 1_500;

export class MessageMerger {
  /// Called with changes that prevent failed requests at other entry VMs.
  onUrgentChange: () => void = () => undefined;

  constructor(
    private readonly ownName: string,
    private readonly gossip: GossipState,
    private readonly replicatedState: ReplicatedState,
    private readonly quarantine: PromptQuarantine,
    private readonly requestLimiter: SharedRequestLimiter,
    private readonly storeEra: StoreEra,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// The targets that some entry VM suspects, according to recent gossip.
  findSuspectedTargets(): string[] {
    return this.gossip
      .facts(factKeys.suspicions, this.clock.monotonicTime())
      .filter(({ age }) => age <= maximumSuspicionAge)
      .flatMap(({ value }) => value as string[]);
  }

  /// Returns the message's part on the quarantine if it is valid.
  merge(message: PeerMessage, peer: string, isReply: boolean): QuarantineExchange | undefined {
    if (this.gossip.riseAbove(message.digest)) {
      const version = message.digest[this.ownName];
      this.logger.warn("peer holds facts of an earlier start", { peer, version });
    }
    const newFacts = this.gossip.merge(message.facts, this.clock.monotonicTime());
    const suspicions = newFacts.filter(
      ({ key, age }) => key === factKeys.suspicions && age <= maximumSuspicionAge,
    );
    const suspectedTargets = suspicions.flatMap(({ value }) => value as string[]);
    if (this.replicatedState.targetRegistry.recordPeerSuspicions(suspectedTargets))
      this.onUrgentChange();
    for (const { key, value, age } of newFacts) {
      if (key === factKeys.placement && this.recordLoadedLayers(value as PlacementFact))
        this.onUrgentChange();
      if (key === factKeys.limits && this.requestLimiter.mergeLimits(value, age))
        this.onUrgentChange();
    }
    this.mergeState(message, peer, isReply);
    return this.mergeQuarantine(message, peer);
  }

  /// Records the ages of the views that a reply states. Only replies count: a message that was not
  /// asked for may have waited here for any time.
  recordViews(
    { viewAges }: PeerMessage,
    { document, targets }: ReceiverState,
    askedAt: Milliseconds,
  ): void {
    if (viewAges === undefined) return;
    const views = [
      { table: "document", age: viewAges.document, revision: document },
      { table: "targets", age: viewAges.targets, revision: targets },
    ] as const;
    for (const view of views) this.replicatedState.recordPeerView({ ...view, askedAt });
  }

  // Returns whether the layers of a target are new here.
  private recordLoadedLayers({ loads }: PlacementFact): boolean {
    const { targetRegistry } = this.replicatedState;
    return loads
      .filter(({ state }) => state === LoadState.Held)
      .map(({ target, born, first, end }) =>
        targetRegistry.recordLoadedLayers(target, born, { first, end }),
      )
      .includes(true);
  }

  // A reply without rows says that there were no changes up to its versions. The opening message of an
  // exchange says nothing of the kind.
  private mergeState(message: PeerMessage, peer: string, isReply: boolean): void {
    const received = readTables(message, this.storeEra.unnamed);
    const { revision } = this.replicatedState.replicas.document;
    const noDocument = { rows: [], revision, isWhole: false };
    const tables =
      message.withoutDocument === true ? { ...received, document: noDocument } : received;
    const document = message.settings?.value ?? undefined;
    const isStateless =
      isEmptyTransfer(tables.document) && isEmptyTransfer(tables.targets) && document === undefined;
    if (isStateless && !isReply) return;
    const state = {
      tables,
      document: document === undefined ? undefined : Buffer.from(document, "base64"),
      lapseGrace: message.lapseGrace,
    };
    if (this.replicatedState.mergePeerState(state, peer)) this.onUrgentChange();
  }

  private mergeQuarantine(
    { quarantine }: PeerMessage,
    peer: string,
  ): QuarantineExchange | undefined {
    if (quarantine === undefined) return undefined;
    const valid = this.quarantine.mergeExchange(quarantine, this.clock.monotonicTime());
    if (valid === undefined) this.logger.warn("ignoring invalid quarantine of a peer", { peer });
    return valid;
  }
}
