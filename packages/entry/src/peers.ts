//! Gossip between entry VMs. They exchange heartbeats, suspicions of targets and the store's
//! rows that the other side lacks. Each entry VM exchanges with one peer at a time, so that
//! its cost does not grow with the number of entry VMs.
import type { TargetLinks } from "@lovagebend/attempts";
import { withAnySignal, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import { GossipState, type GossipEntry } from "@lovagebend/membership";
import type { PromptQuarantine } from "@lovagebend/quarantine";
import type { RowStore, StoreEra } from "@lovagebend/store";
import type { JSONRPCResponse } from "json-rpc-2.0";
import type { EntryIdentity } from "./entry-dependencies.js";
import { EntryVmDirectory } from "./entry-vm-directory.js";
import { GossipExchange } from "./gossip-exchange.js";
import { MessageComposer } from "./message-composer.js";
import { MessageMerger } from "./message-merger.js";
import { OwnFacts } from "./own-facts.js";
import { keepOwnRows } from "./own-rows.js";
import { PeerChoice } from "./peer-choice.js";
import { readVmFact } from "./peer-message-schema.js";
import { PeerRpc } from "./peer-rpc.js";
import type { ReplicatedState } from "./replicated-state.js";
import type { SharedRequestLimiter } from "./shared-request-limiter.js";
import { StoreFollowers } from "./store-followers.js";

const factLifetime: Milliseconds = 15_000;
const exchangeInterval: Milliseconds = 400;
// Changes reach 90 entry VMs in about seven rounds of triggered exchanges.
const minimumTriggerInterval: Milliseconds = 150;

export class Peers {
  /// The entry VMs that are known by gossip.
  readonly directory: EntryVmDirectory;
  /// Those that follow the store for the others in this data centre.
  readonly followers: StoreFollowers;
  private readonly gossip: GossipState;
  private readonly rpc: PeerRpc;
  private readonly choice: PeerChoice;
  private readonly ownFacts: OwnFacts;
  private readonly merger: MessageMerger;
  private readonly exchange: GossipExchange;
  private triggeredAt: Milliseconds = -Infinity;
  private sleepAbort = new AbortController();

  constructor(
    private readonly identity: EntryIdentity,
    replicatedState: ReplicatedState,
    quarantine: PromptQuarantine,
    requestLimiter: SharedRequestLimiter,
    targetLinks: Pick<TargetLinks, "listLost">,
    storeEra: StoreEra,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const { name } = identity;
    // Versions start at the wall clock, which is later at each restart of the same entry VM.
    const gossip = new GossipState(name, clock.wallClockTime(), factLifetime);
    this.gossip = gossip;
    this.rpc = new PeerRpc(logger);
    this.directory = new EntryVmDirectory(identity, gossip, clock, {
      needs: (service) => replicatedState.routes?.services.get(service)?.model !== undefined,
      listLost: () => targetLinks.listLost(),
    });
    this.followers = new StoreFollowers(name, this.directory);
    this.choice = new PeerChoice(identity, this.directory, this.followers, () =>
      replicatedState.hasRecentTargets(),
    );
    this.ownFacts = new OwnFacts(
      identity,
      gossip,
      this.directory,
      replicatedState,
      requestLimiter,
      targetLinks,
      clock,
    );
    this.merger = new MessageMerger(
      name,
      gossip,
      replicatedState,
      quarantine,
      requestLimiter,
      storeEra,
      clock,
      logger,
    );
    this.merger.onUrgentChange = () => {
      this.triggerExchange();
    };
    this.exchange = new GossipExchange(
      name,
      this.rpc,
      new MessageComposer(gossip, replicatedState, quarantine, clock),
      this.merger,
      this.ownFacts,
      quarantine,
      clock,
      logger,
    );
  }

  /// Handles a JSON-RPC call from a peer and returns the JSON-RPC reply.
  receive(body: string): Promise<JSONRPCResponse | null> {
    return this.rpc.receive(body);
  }

  /// Calls `method` of the entry VM that holds `role`, or `own` if this entry VM holds it.
  /// Returns `undefined` if the holder does not answer within `timeout`.
  async callRoleHolder(
    role: string,
    method: string,
    parameters: object,
    timeout: Milliseconds,
    own: () => unknown,
  ): Promise<unknown> {
    const holder = this.directory.findRoleHolder(role);
    if (holder === this.identity.name) return own();
    if (holder === undefined) return undefined;
    return this.callPeer(holder, method, parameters, AbortSignal.timeout(timeout));
  }

  /// Calls `method` of the entry VM `name`. Returns `undefined` if it is not known or fails.
  async callPeer(
    name: string,
    method: string,
    parameters: object,
    signal: AbortSignal,
  ): Promise<unknown> {
    const fact = this.directory.listPeers().find(({ owner }) => owner === name);
    if (fact === undefined) return undefined;
    return this.rpc.call(fact.value.address, method, parameters, signal);
  }

  /// The targets that some entry VM suspects, according to recent gossip.
  findSuspectedTargets(): string[] {
    return this.merger.findSuspectedTargets();
  }

  /// The facts that entry VMs, this one included, have published under `key`.
  findFacts(key: string): readonly GossipEntry[] {
    return this.gossip.facts(key, this.clock.monotonicTime());
  }

  /// Publishes a fact of this entry VM and starts the next exchange at once.
  publishFact(key: string, value: unknown): void {
    this.gossip.publish(key, value, this.clock.monotonicTime());
    this.triggerExchange();
  }

  /// Starts the next exchange at once, unless one was triggered less than
  /// `minimumTriggerInterval` ago. Used for changes that prevent failed requests at
  /// other entry VMs.
  triggerExchange(): void {
    const now = this.clock.monotonicTime();
    if (now - this.triggeredAt < minimumTriggerInterval) return;
    this.triggeredAt = now;
    this.sleepAbort.abort();
  }

  /// Publishes the facts of this entry VM and starts the next exchange at once.
  publishNow(): void {
    this.ownFacts.makeDue();
    this.triggerExchange();
  }

  /// Registers the handler for calls of `method` by peers.
  registerMethod(method: string, handler: (parameters: unknown) => unknown): void {
    this.rpc.registerMethod(method, handler);
  }

  /// Calls `method` of up to `count` random live peers of any data centre, each with its own reply.
  callLivePeers(
    method: string,
    parameters: object,
    count: number,
    signal: AbortSignal,
  ): readonly Promise<unknown>[] {
    return this.choice
      .chooseSeveralLive(count)
      .map((address) => this.rpc.call(address, method, parameters, signal));
  }

  /// Marks this entry VM as stopping in its next published fact, so that peers no longer
  /// assign it a role.
  stop(): void {
    this.directory.stop();
    this.ownFacts.makeDue();
  }

  /// Reads the addresses of the others from the store, for the case that no seed answers, and
  /// keeps this entry VM registered there until `signal` aborts.
  async register(store: RowStore, table: string, signal: AbortSignal): Promise<void> {
    const { clock, logger } = this;
    const registered = await store.readTable(table);
    if (registered.isErr) {
      logger.warn("reading entry VMs from the store failed", { reason: registered.error });
    } else {
      for (const { key, value } of registered.value.rows) {
        if (value === undefined) continue;
        const fact = readVmFact(value);
        if (fact.isOk) this.choice.addRegistered(key, fact.value);
        else this.logger.warn("ignoring invalid entry VM", { entryVm: key, reason: fact.error });
      }
    }
    const content = JSON.stringify(this.ownFacts.describeSelf());
    const row = { key: this.identity.name, content, value: Buffer.from(content) };
    const event = "entry VM registered";
    await keepOwnRows({ store, table, clock, logger, event, listRows: () => [row] }, signal);
  }

  /// Exchanges with one random peer at a time until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.sleepAbort = new AbortController();
      const interval = exchangeInterval * (0.75 + Math.random() / 2);
      await withAnySignal([signal, this.sleepAbort.signal], (either) =>
        this.clock.sleep(interval, either),
      );
      this.ownFacts.publish();
      const address = this.choice.chooseForExchange();
      if (address !== undefined) await this.exchange.run(address, signal);
    }
  }
}
