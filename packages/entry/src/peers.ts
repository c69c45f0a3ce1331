//! Gossip between entry VMs. They exchange heartbeats, suspicions of targets and the store's
//! rows that the other side lacks. Each entry VM exchanges with one peer at a time, so that
//! its cost does not grow with the number of entry VMs.
import {
  exchangeJson,
  parseJsonText,
  runDetached,
  validate,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { GossipState, type GossipDigest } from "@lovagebend/membership";
import type { PromptQuarantine, QuarantineExchange } from "@lovagebend/quarantine";
import { type Revision, type RowStore, type StoreEra, type TableTransfer } from "@lovagebend/store";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  JSONRPCErrorCode,
  JSONRPCServer,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import * as z from "zod";
import { EntryVmDirectory } from "./entry-vm-directory.js";
import { keepOwnRows } from "./own-rows.js";
import type { ReplicatedState } from "./replicated-state.js";
import { factKeys, readPeerMessage, readVmFact } from "./peer-message-schema.js";
import {
  describeTables,
  readTables,
  type PeerMessage,
  type ViewAges,
  type VmFact,
} from "./peer-message.js";
import { PeerChoice } from "./peer-choice.js";
import { StoreFollowers } from "./store-followers.js";
import type { SharedRequestLimiter } from "./shared-request-limiter.js";
import type { EntryIdentity } from "./entry-dependencies.js";

// Covers the duration of the shortest suspicion plus the time that gossip takes to spread.
const maximumSuspicionAge: Milliseconds = 1_500;
const factLifetime: Milliseconds = 15_000;
const exchangeInterval: Milliseconds = 400;
const exchangeTimeout: Milliseconds = 400;
// A document with many routes takes some 100 ms on the link of the smallest VM, which other messages
// share, and as long on its processor.
const documentTimeout: Milliseconds = 2_000;
// Changes reach 90 entry VMs in about seven rounds of triggered exchanges.
const minimumTriggerInterval: Milliseconds = 150;
const publishInterval: Milliseconds = 1_000;
const exchangeMethod = "exchange";
const maximumLoggedFaults = 5;
const callSchema = z.looseObject({
  jsonrpc: z.literal("2.0"),
  method: z.string(),
  id: z.union([z.string(), z.number(), z.null()]).optional(),
});

// What the receiver of a message has, as far as it is known.
interface ReceiverState {
  readonly digest: GossipDigest;
  readonly document: Revision;
  readonly targets: Revision;
  readonly settings: number | undefined;
  readonly quarantine?: QuarantineExchange | undefined;
}

interface MessageOptions {
  /// Of all facts, only those of these owners are sent.
  readonly onlyOwners?: readonly string[];
  readonly withoutDocument?: boolean;
  readonly defersDocument?: boolean;
}

export class Peers {
  /// The entry VMs that are known by gossip.
  readonly directory: EntryVmDirectory;
  /// Those that follow the store for the others in this data centre.
  readonly followers: StoreFollowers;
  private readonly gossip: GossipState;
  private readonly server = new JSONRPCServer({
    errorListener: (message, data) => {
      this.logger.warn("call of a peer failed", { reason: message, detail: String(data) });
    },
  });
  private readonly choice: PeerChoice;
  private publishedAt: Milliseconds = -Infinity;
  private triggeredAt: Milliseconds = -Infinity;
  private sleepAbort = new AbortController();
  private isTransferringDocument = false;

  constructor(
    private readonly identity: EntryIdentity,
    private readonly replicatedState: ReplicatedState,
    private readonly quarantine: PromptQuarantine,
    private readonly requestLimiter: SharedRequestLimiter,
    private readonly storeEra: StoreEra,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    // Versions start at the wall clock, which is later at each restart of the same entry VM.
    this.gossip = new GossipState(identity.name, clock.wallClockTime(), factLifetime);
    this.directory = new EntryVmDirectory(identity, this.gossip, clock);
    this.followers = new StoreFollowers(identity.name, this.directory);
    this.choice = new PeerChoice(identity, this.directory, this.followers, () =>
      replicatedState.hasRecentTargets(),
    );
    this.server.addMethod(exchangeMethod, (message: unknown) =>
      this.handleExchange(this.readMessage(message, "caller")),
    );
  }

  /// Handles a JSON-RPC call from a peer and returns the JSON-RPC reply.
  async receive(body: string): Promise<JSONRPCResponse | null> {
    const call = validate(callSchema, parseJsonText(body).unwrapOr(undefined));
    if (call.isErr) return createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, "");
    return this.server.receive({ ...call.value, id: call.value.id ?? null });
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
    const fact = this.directory.listPeers().find(({ owner }) => owner === holder);
    if (fact === undefined) return undefined;
    return this.call(fact.value.address, method, parameters, AbortSignal.timeout(timeout));
  }

  /// The targets that some entry VM suspects, according to recent gossip.
  findSuspectedTargets(): string[] {
    return this.gossip
      .facts(factKeys.suspicions, this.clock.monotonicTime())
      .filter(({ age }) => age <= maximumSuspicionAge)
      .flatMap(({ value }) => value as string[]);
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
    this.publishedAt = -Infinity;
    this.triggerExchange();
  }

  /// Registers the handler for calls of `method` by peers.
  registerMethod(method: string, handler: (parameters: unknown) => unknown): void {
    this.server.addMethod(method, handler);
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
      .map((address) => this.call(address, method, parameters, signal));
  }

  private async call(
    address: string,
    method: string,
    parameters: object,
    signal: AbortSignal,
  ): Promise<unknown> {
    try {
      return await this.createClient(address, signal).request(method, parameters);
    } catch (error) {
      if (!signal.aborted)
        this.logger.info("call to peer failed", { peer: address, method, reason: String(error) });
      return undefined;
    }
  }

  /// Marks this entry VM as stopping in its next published fact, so that peers no longer
  /// assign it a role.
  stop(): void {
    this.directory.stop();
    this.publishedAt = -Infinity;
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
    const content = JSON.stringify(this.describeSelf());
    const row = { key: this.identity.name, content, value: Buffer.from(content) };
    const event = "entry VM registered";
    await keepOwnRows({ store, table, clock, logger, event, listRows: () => [row] }, signal);
  }

  /// Exchanges with one random peer at a time until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.sleepAbort = new AbortController();
      await this.clock.sleep(
        exchangeInterval * (0.75 + Math.random() / 2),
        AbortSignal.any([signal, this.sleepAbort.signal]),
      );
      this.publishOwnFacts();
      const address = this.choice.chooseForExchange();
      if (address !== undefined) await this.exchangeWith(address, signal);
    }
  }

  private createClient(
    address: string,
    signal: AbortSignal,
    timeout = exchangeTimeout,
  ): JSONRPCClient {
    const client = new JSONRPCClient(async (payload) => {
      const reply = await exchangeJson({
        url: `http://${address}/`,
        method: "POST",
        body: payload,
        timeout,
        signal,
      });
      if (reply.isErr) throw new Error(reply.error.reason);
      client.receive(reply.value.body as JSONRPCResponse);
    });
    return client;
  }

  private async exchangeWith(address: string, signal: AbortSignal): Promise<void> {
    const { document, targets } = this.replicatedState.replicas;
    // The peer's state is not known yet, so that it is sent none.
    const unknown = {
      digest: {},
      document: document.revision,
      targets: targets.revision,
      settings: undefined,
    };
    const opening = this.composeMessage(unknown, {
      onlyOwners: [this.identity.name],
      defersDocument: true,
    });
    const reply = await this.callExchange(address, opening, signal);
    if (reply === undefined) return;
    const { message, quarantine } = reply;
    const receiver = { ...this.readReceiverState(message), quarantine };
    const isOlderVersion = message.withoutDocument === undefined;
    const differs = quarantine !== undefined && quarantine.digest !== this.quarantine.digest;
    const hasDocument = this.hasDocumentFor(receiver);
    if (this.hasTargetsFor(receiver) || differs || (isOlderVersion && hasDocument)) {
      const options = { withoutDocument: !isOlderVersion, defersDocument: true };
      await this.callExchange(address, this.composeMessage(receiver, options), signal);
    }
    if (message.withoutDocument === true || (!isOlderVersion && hasDocument))
      this.startDocumentTransfer(address, receiver, signal);
  }

  // Documents may be large. They are exchanged apart from the frequent messages, whose timeout is
  // short because a silent peer must not hold them up, and one at a time.
  private startDocumentTransfer(
    address: string,
    receiver: ReceiverState,
    signal: AbortSignal,
  ): void {
    if (this.isTransferringDocument) return;
    this.isTransferringDocument = true;
    const message = this.composeMessage(receiver);
    const transfer = this.callExchange(address, message, signal, documentTimeout).finally(() => {
      this.isTransferringDocument = false;
    });
    runDetached(this.logger, "document transfer", transfer);
  }

  // Sends `message` and merges the reply. Returns `undefined` if there is no valid one.
  private async callExchange(
    address: string,
    message: PeerMessage,
    signal: AbortSignal,
    timeout = exchangeTimeout,
  ): Promise<{ message: PeerMessage; quarantine: QuarantineExchange | undefined } | undefined> {
    const client = this.createClient(address, signal, timeout);
    const askedAt = this.clock.monotonicTime();
    try {
      const reply = this.readMessage(await client.request(exchangeMethod, message), address);
      const quarantine = this.mergeMessage(reply, address, true);
      this.recordViews(reply, askedAt);
      return { message: reply, quarantine };
    } catch (error) {
      if (!signal.aborted)
        this.logger.info("call to peer failed", { peer: address, reason: String(error) });
      return undefined;
    }
  }

  // Throws if `value` is no message, which ends the exchange.
  private readMessage(value: unknown, peer: string): PeerMessage {
    const read = readPeerMessage(value);
    if (read.isErr) throw new Error(`invalid message: ${read.error}`);
    const { message, faults } = read.value;
    if (faults.length > 0)
      this.logger.warn("ignoring invalid parts of a peer's message", {
        peer,
        count: faults.length,
        faults: faults.slice(0, maximumLoggedFaults),
      });
    return message;
  }

  private handleExchange(message: PeerMessage): PeerMessage {
    const quarantine = this.mergeMessage(message, "caller", false);
    this.publishOwnFacts();
    const receiver = { ...this.readReceiverState(message), quarantine };
    const withoutDocument = message.defersDocument === true && this.hasDocumentFor(receiver);
    return this.composeMessage(receiver, { withoutDocument });
  }

  // Only replies count: a message that was not asked for may have waited here for any time.
  private recordViews(reply: PeerMessage, askedAt: Milliseconds): void {
    const { viewAges } = reply;
    if (viewAges === undefined) return;
    const { document, targets } = this.readReceiverState(reply);
    const views = [
      { table: "document", age: viewAges.document, revision: document },
      { table: "targets", age: viewAges.targets, revision: targets },
    ] as const;
    for (const view of views) this.replicatedState.recordPeerView({ ...view, askedAt });
  }

  // Returns the message's part on the quarantine if it is valid.
  private mergeMessage(
    message: PeerMessage,
    peer: string,
    isReply: boolean,
  ): QuarantineExchange | undefined {
    if (this.gossip.riseAbove(message.digest)) {
      const version = message.digest[this.identity.name];
      this.logger.warn("peer holds facts of an earlier start", { peer, version });
    }
    const newFacts = this.gossip.merge(message.facts, this.clock.monotonicTime());
    const suspicions = newFacts.filter(
      ({ key, age }) => key === factKeys.suspicions && age <= maximumSuspicionAge,
    );
    const suspectedTargets = suspicions.flatMap(({ value }) => value as string[]);
    if (this.replicatedState.targetRegistry.recordPeerSuspicions(suspectedTargets))
      this.triggerExchange();
    for (const { key, value, age } of newFacts)
      if (key === factKeys.limits && this.requestLimiter.mergeLimits(value, age))
        this.triggerExchange();
    this.mergeState(message, peer, isReply);
    return this.mergeQuarantine(message, peer);
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
      isEmpty(tables.document) && isEmpty(tables.targets) && document === undefined;
    if (isStateless && !isReply) return;
    const state = {
      tables,
      document: document === undefined ? undefined : Buffer.from(document, "base64"),
      lapseGrace: message.lapseGrace,
    };
    if (this.replicatedState.mergePeerState(state, peer)) this.triggerExchange();
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

  private composeMessage(
    receiver: ReceiverState,
    { onlyOwners, withoutDocument = false, defersDocument = false }: MessageOptions = {},
  ): PeerMessage {
    const now = this.clock.monotonicTime();
    const facts = this.gossip.newerThan(receiver.digest, now);
    const { replicas } = this.replicatedState;
    const document = replicas.document.composeTransfer(receiver.document);
    const rows = withoutDocument ? [] : document.rows;
    const inForce = withoutDocument ? undefined : this.findDocumentFor(receiver);
    const isAmongRows = rows.some(
      ({ value }) => inForce !== undefined && value?.equals(inForce) === true,
    );
    return {
      digest: this.gossip.digest(),
      facts:
        onlyOwners === undefined ? facts : facts.filter(({ owner }) => onlyOwners.includes(owner)),
      ...describeTables({
        document: { ...document, rows },
        targets: replicas.targets.composeTransfer(receiver.targets),
      }),
      settings: {
        version: this.settingsVersion,
        value: isAmongRows ? null : (inForce?.toString("base64") ?? null),
      },
      withoutDocument,
      defersDocument,
      lapseGrace: this.replicatedState.targetRegistry.getRemainingGrace(),
      viewAges: this.describeViewAges(),
      quarantine: this.quarantine.composeExchange(receiver.quarantine, now),
    };
  }

  private hasTargetsFor(receiver: ReceiverState): boolean {
    return !isEmpty(this.replicatedState.replicas.targets.composeTransfer(receiver.targets));
  }

  private hasDocumentFor(receiver: ReceiverState): boolean {
    const transfer = this.replicatedState.replicas.document.composeTransfer(receiver.document);
    return !isEmpty(transfer) || this.findDocumentFor(receiver) !== undefined;
  }

  // Returns the operator's document in force if the receiver has an earlier one. A receiver of
  // an older version names none, and gets the row only.
  private findDocumentFor({ settings }: ReceiverState): Buffer | undefined {
    if (settings === undefined || this.settingsVersion <= settings) return undefined;
    return this.replicatedState.document;
  }

  private get settingsVersion(): number {
    return this.replicatedState.routes?.version ?? -1;
  }

  private readReceiverState(message: PeerMessage): ReceiverState {
    const { document, targets } = this.replicatedState.replicas;
    const { digest, versions, histories, settings } = message;
    // A receiver of an older version names no eras, and compares versions only.
    return {
      digest,
      document: {
        era: histories?.document.era ?? document.revision.era,
        version: versions.document,
      },
      targets: { era: histories?.targets.era ?? targets.revision.era, version: versions.targets },
      settings: settings?.version,
    };
  }

  private publishOwnFacts(): void {
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

  private describeSelf(): VmFact {
    const { peers, dataCentre } = this.identity;
    const { isStopping } = this.directory;
    return { address: `${peers.host}:${peers.port}`, dataCentre, isStopping };
  }

  private describeViewAges(): ViewAges | undefined {
    const document = this.replicatedState.getViewAge("document");
    const targets = this.replicatedState.getViewAge("targets");
    if (!Number.isFinite(document + targets)) return undefined;
    return { document: Math.ceil(document), targets: Math.ceil(targets) };
  }
}

function isEmpty({ rows, isWhole }: TableTransfer): boolean {
  return rows.length === 0 && !isWhole;
}
