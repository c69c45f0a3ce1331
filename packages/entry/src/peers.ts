//! What entry VMs tell each other: that they live, and the rows of the store that the
//! other lacks. Each asks one peer at a time, so that the cost for one entry VM does not
//! grow with their number.
import {
  exchangeJson,
  rendezvousOrder,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { GossipState } from "@lovagebend/membership";
import type { RowStore } from "@lovagebend/store";
import { JSONRPCClient, JSONRPCServer, type JSONRPCResponse } from "json-rpc-2.0";
import type { ReplicatedState } from "./knowledge.js";
import {
  fromWireRows,
  parseVmFact,
  toWireRows,
  type PeerMessage,
  type TableVersions,
  type VmFact,
} from "./peer-message.js";
import type { EntryIdentity } from "./ports.js";

const vmFactKey = "vm";
const suspicionsFactKey = "doubts";
// Doubts are news for as long as the shortest of them holds, and the way of the news.
const maximumSuspicionAge: Milliseconds = 1_500;
const factLifetime: Milliseconds = 15_000;
const exchangeInterval: Milliseconds = 400;
const exchangeTimeout: Milliseconds = 400;
// News reach 90 entry VMs in about seven rounds of such exchanges.
const minimumTriggerInterval: Milliseconds = 150;
const publishInterval: Milliseconds = 1_000;
// Facts are stated each second and cross all entry VMs in a few exchanges.
const maximumLiveAge: Milliseconds = 3_500;
// Peers of the own data centre answer sooner and outlast a cut between data centres.
const localExchangeShare = 0.6;
// Where a data centre has many entry VMs, the few exchanges that leave it carry its news
// out several times a second all the same, and traffic between data centres is dear.
const manyLocalPeersMinimum = 8;
const localExchangeShareWithManyPeers = 0.9;
const explorationShare = 0.2;
const exchangeMethod = "exchange";

export class Peers {
  private readonly gossip: GossipState;
  private readonly server = new JSONRPCServer();
  private readonly registeredVms = new Map<string, VmFact>();
  private publishedAt: Milliseconds = -Infinity;
  private triggeredAt: Milliseconds = -Infinity;
  private sleepAbort = new AbortController();
  private isStopping = false;

  constructor(
    private readonly identity: EntryIdentity,
    private readonly replicatedState: ReplicatedState,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    // A later start of the same entry VM has a later wall reading.
    this.gossip = new GossipState(identity.name, clock.wall(), factLifetime);
    this.server.addMethod(exchangeMethod, (message: PeerMessage) => this.handleExchange(message));
  }

  /// Answers a call of a peer, as JSON-RPC.
  receive(body: string): PromiseLike<JSONRPCResponse | null> {
    return this.server.receiveJSON(body) as PromiseLike<JSONRPCResponse | null>;
  }

  /// The names of the entry VMs that are alive, this one included.
  findLiveEntryVms(): string[] {
    const names = this.findVmFacts()
      .filter(({ age, value }) => age <= maximumLiveAge && !value.isStopping)
      .map(({ owner }) => owner);
    return [...new Set([...names, ...(this.isStopping ? [] : [this.identity.name])])].sort();
  }

  /// How many entry VMs there are, those not heard of for a few seconds included: behind a
  /// cut they go on.
  countEntryVms(): number {
    return new Set([...this.findVmFacts().map(({ owner }) => owner), this.identity.name]).size;
  }

  /// How many entry VMs are alive in this one's data centre.
  countLocalEntryVms(): number {
    const here = this.findVmFacts().filter(
      ({ age, owner, value }) =>
        age <= maximumLiveAge &&
        owner !== this.identity.name &&
        value.dataCentre === this.identity.dataCentre,
    );
    return here.length + 1;
  }

  /// Whether this entry VM is among the first `count` of its data centre for `duty`.
  isAmongFirst(role: string, count: number): boolean {
    const here = this.findPeerFacts()
      .filter(({ age, value }) => age <= maximumLiveAge && !value.isStopping)
      .filter(({ value }) => value.dataCentre === this.identity.dataCentre)
      .map(({ owner }) => owner);
    if (here.length < count) return true;
    return rendezvousOrder(role, [...here, this.identity.name])
      .slice(0, count)
      .includes(this.identity.name);
  }

  /// Whether this entry VM is the one that sees to `duty`. Each works that out alone, so
  /// that two may think so for a while.
  hasRole(role: string): boolean {
    return rendezvousOrder(role, this.findLiveEntryVms())[0] === this.identity.name;
  }

  /// The targets that any entry VM heard of lately doubts.
  findSuspectedTargets(): string[] {
    return this.gossip
      .facts(suspicionsFactKey, this.clock.monotonic())
      .filter(({ age }) => age <= maximumSuspicionAge)
      .flatMap(({ value }) => value as string[]);
  }

  /// Has the next exchange take place at once, unless there was a hurried one just now: for
  /// news that keep others from a failure of their own.
  triggerExchange(): void {
    const now = this.clock.monotonic();
    if (now - this.triggeredAt < minimumTriggerInterval) return;
    this.triggeredAt = now;
    this.sleepAbort.abort();
  }

  /// Has calls of `method` by peers answered.
  registerMethod(method: string, handler: (parameters: unknown) => unknown): void {
    this.server.addMethod(method, handler);
  }

  /// Calls `method` of some peer that is alive, one of the own data centre where there is
  /// one. `undefined` without such a peer or without its answer.
  async callLivePeer(method: string, parameters: object, signal: AbortSignal): Promise<unknown> {
    const address = this.chooseLivePeer();
    if (address === undefined) return undefined;
    try {
      return await this.createClient(address, signal).request(method, parameters);
    } catch (error) {
      if (!signal.aborted)
        this.logger.info("peer does not answer", { peer: address, method, reason: String(error) });
      return undefined;
    }
  }

  /// Tells peers that this entry VM takes no more duties.
  stop(): void {
    this.isStopping = true;
    this.publishedAt = -Infinity;
  }

  /// Lists this entry VM in the store and learns the others there, for the time when no
  /// seed answers.
  async register(store: RowStore, table: string): Promise<void> {
    const known = await store.readTable(table);
    if (known.isErr) {
      this.logger.warn("entry VMs not readable in the store", { reason: known.error });
    } else {
      for (const { key, value } of known.value.rows) {
        const fact = value === undefined ? undefined : parseVmFact(value);
        if (fact !== undefined) this.registeredVms.set(key, fact);
      }
    }
    const own = Buffer.from(JSON.stringify(this.describeSelf()));
    const written = await store.write(table, this.identity.name, own);
    if (written.isErr) this.logger.warn("not listed in the store", { reason: written.error });
  }

  /// Exchanges with one peer after another until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.sleepAbort = new AbortController();
      await this.clock.sleep(
        exchangeInterval * (0.75 + Math.random() / 2),
        AbortSignal.any([signal, this.sleepAbort.signal]),
      );
      this.publishOwnFacts();
      const address = this.chooseExchangePeer();
      if (address !== undefined) await this.exchangeWith(address, signal);
    }
  }

  private createClient(address: string, signal: AbortSignal): JSONRPCClient {
    const client = new JSONRPCClient(async (payload) => {
      const reply = await exchangeJson({
        url: `http://${address}/`,
        method: "POST",
        body: payload,
        timeout: exchangeTimeout,
        signal,
      });
      if (reply.isErr) throw new Error(reply.error.reason);
      client.receive(reply.value.body as JSONRPCResponse);
    });
    return client;
  }

  private async exchangeWith(address: string, signal: AbortSignal): Promise<void> {
    const client = this.createClient(address, signal);
    try {
      const own = this.composeMessage({ digest: {}, versions: this.readTableVersions() }, [
        this.identity.name,
      ]);
      const reply = (await client.request(exchangeMethod, own)) as PeerMessage;
      this.mergeMessage(reply, address);
      if (this.hasNewerRowsThan(reply))
        this.mergeMessage(
          (await client.request(exchangeMethod, this.composeMessage(reply))) as PeerMessage,
          address,
        );
    } catch (error) {
      if (!signal.aborted)
        this.logger.info("peer does not answer", { peer: address, reason: String(error) });
    }
  }

  private handleExchange(message: PeerMessage): PeerMessage {
    this.mergeMessage(message, "caller");
    this.publishOwnFacts();
    return this.composeMessage(message);
  }

  private mergeMessage(message: PeerMessage, peer: string): void {
    const newFacts = this.gossip.merge(message.facts, this.clock.monotonic());
    const suspicions = newFacts.filter(
      ({ key, age }) => key === suspicionsFactKey && age <= maximumSuspicionAge,
    );
    const suspectedTargets = suspicions.flatMap(({ value }) => value as string[]);
    if (this.replicatedState.book.heardDoubts(suspectedTargets)) this.triggerExchange();
    const rows = {
      document: fromWireRows(message.rows.document),
      targets: fromWireRows(message.rows.targets),
    };
    if (rows.document.length === 0 && rows.targets.length === 0) return;
    if (this.replicatedState.mergePeerRows(rows, message.versions, peer, message.lapseGrace))
      this.triggerExchange();
  }

  private composeMessage(
    other: Pick<PeerMessage, "digest" | "versions">,
    onlyOwners?: readonly string[],
  ): PeerMessage {
    const now = this.clock.monotonic();
    const facts = this.gossip.newerThan(other.digest, now);
    const { document, targets } = this.replicatedState.replicas;
    return {
      digest: this.gossip.digest(),
      versions: this.readTableVersions(),
      facts:
        onlyOwners === undefined ? facts : facts.filter(({ owner }) => onlyOwners.includes(owner)),
      rows: {
        document: toWireRows(document.findRowsNewerThan(other.versions.document)),
        targets: toWireRows(targets.findRowsNewerThan(other.versions.targets)),
      },
      lapseGrace: this.replicatedState.book.graceLeft(),
    };
  }

  private hasNewerRowsThan({ versions }: PeerMessage): boolean {
    const own = this.readTableVersions();
    return own.document > versions.document || own.targets > versions.targets;
  }

  private readTableVersions(): TableVersions {
    const { document, targets } = this.replicatedState.replicas;
    return { document: document.version, targets: targets.version };
  }

  private publishOwnFacts(): void {
    const now = this.clock.monotonic();
    const suspectedTargets = this.replicatedState.book.doubted();
    if (suspectedTargets.length > 0) this.gossip.state(suspicionsFactKey, suspectedTargets, now);
    if (now - this.publishedAt < publishInterval) return;
    this.publishedAt = now;
    this.gossip.state(vmFactKey, this.describeSelf(), now);
  }

  private describeSelf(): VmFact {
    const { peers, dataCentre } = this.identity;
    return { address: `${peers.host}:${peers.port}`, dataCentre, isStopping: this.isStopping };
  }

  private findVmFacts() {
    return this.gossip
      .facts(vmFactKey, this.clock.monotonic())
      .map(({ owner, age, value }) => ({ owner, age, value: value as VmFact }));
  }

  private findPeerFacts(): {
    readonly owner: string;
    readonly age: Milliseconds;
    readonly value: VmFact;
  }[] {
    return this.findVmFacts().filter(({ owner }) => owner !== this.identity.name);
  }

  private chooseLivePeer(): string | undefined {
    const live = this.findPeerFacts().filter(
      ({ age, value }) => age <= maximumLiveAge && !value.isStopping,
    );
    const local = live.filter(({ value }) => value.dataCentre === this.identity.dataCentre);
    const pool = local.length > 0 ? local : live;
    return pool[Math.floor(Math.random() * pool.length)]?.value.address;
  }

  private chooseExchangePeer(): string | undefined {
    const own = this.describeSelf().address;
    const peerFacts = this.findPeerFacts();
    const live = peerFacts.filter(({ age }) => age <= maximumLiveAge).map(({ value }) => value);
    const local = live.filter(({ dataCentre }) => dataCentre === this.identity.dataCentre);
    const share =
      local.length >= manyLocalPeersMinimum ? localExchangeShareWithManyPeers : localExchangeShare;
    const pool = local.length > 0 && Math.random() < share ? local : live;
    const addresses = pool.map(({ address }) => address);
    // Some exchanges go to peers that are known of but not heard, to mend a split.
    const liveAddresses = new Set(live.map(({ address }) => address));
    const unconfirmedAddresses = [
      ...this.identity.seeds,
      ...[...this.registeredVms.values(), ...peerFacts.map(({ value }) => value)].map(
        ({ address }) => address,
      ),
    ].filter((address) => address !== own && !liveAddresses.has(address));
    const isExploring = addresses.length === 0 || Math.random() < explorationShare;
    const chosen =
      isExploring && unconfirmedAddresses.length > 0 ? unconfirmedAddresses : addresses;
    return chosen[Math.floor(Math.random() * chosen.length)];
  }
}
