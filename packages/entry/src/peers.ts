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
import type { Knowledge } from "./knowledge.js";
import {
  fromWire,
  readVmFact,
  toWire,
  type PeerMessage,
  type TableVersions,
  type VmFact,
} from "./peer-message.js";
import type { EntryIdentity } from "./ports.js";

const vmFact = "vm";
const doubtsFact = "doubts";
// Doubts are news for as long as the shortest of them holds, and the way of the news.
const doubtsLimit: Milliseconds = 1_500;
const factLifetime: Milliseconds = 15_000;
const exchangePause: Milliseconds = 400;
const exchangeTimeout: Milliseconds = 400;
// News reach 90 entry VMs in about seven rounds of such exchanges.
const leastHurriedPause: Milliseconds = 150;
const restatePause: Milliseconds = 1_000;
// Facts are stated each second and cross all entry VMs in a few exchanges.
const liveLimit: Milliseconds = 3_500;
// Peers of the own data centre answer sooner and outlast a cut between data centres.
const shareOfLocalExchanges = 0.6;
// Where a data centre has many entry VMs, the few exchanges that leave it carry its news
// out several times a second all the same, and traffic between data centres is dear.
const manyLocalPeers = 8;
const shareOfLocalExchangesOfMany = 0.9;
const shareOfExploringExchanges = 0.2;
const exchangeMethod = "exchange";

export class Peers {
  private readonly gossip: GossipState;
  private readonly server = new JSONRPCServer();
  private readonly fromStore = new Map<string, VmFact>();
  private statedAt: Milliseconds = -Infinity;
  private hurriedAt: Milliseconds = -Infinity;
  private pause = new AbortController();
  private isStopping = false;

  constructor(
    private readonly identity: EntryIdentity,
    private readonly knowledge: Knowledge,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    // A later start of the same entry VM has a later wall reading.
    this.gossip = new GossipState(identity.name, clock.wall(), factLifetime);
    this.server.addMethod(exchangeMethod, (message: PeerMessage) => this.answer(message));
  }

  /// Answers a call of a peer, as JSON-RPC.
  receive(body: string): PromiseLike<JSONRPCResponse | null> {
    return this.server.receiveJSON(body) as PromiseLike<JSONRPCResponse | null>;
  }

  /// The names of the entry VMs that are alive, this one included.
  live(): string[] {
    const names = this.facts()
      .filter(({ age, value }) => age <= liveLimit && !value.isStopping)
      .map(({ owner }) => owner);
    return [...new Set([...names, ...(this.isStopping ? [] : [this.identity.name])])].sort();
  }

  /// How many entry VMs there are, those not heard of for a few seconds included: behind a
  /// cut they go on.
  count(): number {
    return new Set([...this.facts().map(({ owner }) => owner), this.identity.name]).size;
  }

  /// How many entry VMs are alive in this one's data centre.
  liveHere(): number {
    const here = this.facts().filter(
      ({ age, owner, value }) =>
        age <= liveLimit &&
        owner !== this.identity.name &&
        value.dataCentre === this.identity.dataCentre,
    );
    return here.length + 1;
  }

  /// Whether this entry VM is among the first `count` of its data centre for `duty`.
  isAmongFirst(duty: string, count: number): boolean {
    const here = this.heard()
      .filter(({ age, value }) => age <= liveLimit && !value.isStopping)
      .filter(({ value }) => value.dataCentre === this.identity.dataCentre)
      .map(({ owner }) => owner);
    if (here.length < count) return true;
    return rendezvousOrder(duty, [...here, this.identity.name])
      .slice(0, count)
      .includes(this.identity.name);
  }

  /// Whether this entry VM is the one that sees to `duty`. Each works that out alone, so
  /// that two may think so for a while.
  hasDuty(duty: string): boolean {
    return rendezvousOrder(duty, this.live())[0] === this.identity.name;
  }

  /// The targets that any entry VM heard of lately doubts.
  doubted(): string[] {
    return this.gossip
      .facts(doubtsFact, this.clock.monotonic())
      .filter(({ age }) => age <= doubtsLimit)
      .flatMap(({ value }) => value as string[]);
  }

  /// Has the next exchange take place at once, unless there was a hurried one just now: for
  /// news that keep others from a failure of their own.
  hurry(): void {
    const now = this.clock.monotonic();
    if (now - this.hurriedAt < leastHurriedPause) return;
    this.hurriedAt = now;
    this.pause.abort();
  }

  /// Has calls of `method` by peers answered.
  serve(method: string, answer: (parameters: unknown) => unknown): void {
    this.server.addMethod(method, answer);
  }

  /// Calls `method` of some peer that is alive, one of the own data centre where there is
  /// one. `undefined` without such a peer or without its answer.
  async askSome(method: string, parameters: object, signal: AbortSignal): Promise<unknown> {
    const address = this.chooseLive();
    if (address === undefined) return undefined;
    try {
      return await this.client(address, signal).request(method, parameters);
    } catch (error) {
      if (!signal.aborted)
        this.logger.info("peer does not answer", { peer: address, method, reason: String(error) });
      return undefined;
    }
  }

  /// Tells peers that this entry VM takes no more duties.
  stop(): void {
    this.isStopping = true;
    this.statedAt = -Infinity;
  }

  /// Lists this entry VM in the store and learns the others there, for the time when no
  /// seed answers.
  async register(store: RowStore, table: string): Promise<void> {
    const known = await store.readTable(table);
    if (known.isErr) {
      this.logger.warn("entry VMs not readable in the store", { reason: known.error });
    } else {
      for (const { key, value } of known.value.rows) {
        const fact = value === undefined ? undefined : readVmFact(value);
        if (fact !== undefined) this.fromStore.set(key, fact);
      }
    }
    const own = Buffer.from(JSON.stringify(this.ownFact()));
    const written = await store.write(table, this.identity.name, own);
    if (written.isErr) this.logger.warn("not listed in the store", { reason: written.error });
  }

  /// Exchanges with one peer after another until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.pause = new AbortController();
      await this.clock.sleep(
        exchangePause * (0.75 + Math.random() / 2),
        AbortSignal.any([signal, this.pause.signal]),
      );
      this.stateSelf();
      const address = this.choosePeer();
      if (address !== undefined) await this.exchangeWith(address, signal);
    }
  }

  private client(address: string, signal: AbortSignal): JSONRPCClient {
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
    const client = this.client(address, signal);
    try {
      const own = this.message({ digest: {}, versions: this.versions() }, [this.identity.name]);
      const reply = (await client.request(exchangeMethod, own)) as PeerMessage;
      this.takeIn(reply, address);
      if (this.hasMoreThan(reply))
        this.takeIn(
          (await client.request(exchangeMethod, this.message(reply))) as PeerMessage,
          address,
        );
    } catch (error) {
      if (!signal.aborted)
        this.logger.info("peer does not answer", { peer: address, reason: String(error) });
    }
  }

  private answer(message: PeerMessage): PeerMessage {
    this.takeIn(message, "caller");
    this.stateSelf();
    return this.message(message);
  }

  private takeIn(message: PeerMessage, peer: string): void {
    const news = this.gossip.merge(message.facts, this.clock.monotonic());
    const doubts = news.filter(({ key, age }) => key === doubtsFact && age <= doubtsLimit);
    const names = doubts.flatMap(({ value }) => value as string[]);
    if (this.knowledge.book.heardDoubts(names)) this.hurry();
    const rows = {
      document: fromWire(message.rows.document),
      targets: fromWire(message.rows.targets),
    };
    if (rows.document.length === 0 && rows.targets.length === 0) return;
    if (this.knowledge.hear(rows, message.versions, peer, message.lapseGrace)) this.hurry();
  }

  private message(
    other: Pick<PeerMessage, "digest" | "versions">,
    onlyOwners?: readonly string[],
  ): PeerMessage {
    const now = this.clock.monotonic();
    const facts = this.gossip.newerThan(other.digest, now);
    const { document, targets } = this.knowledge.replicas;
    return {
      digest: this.gossip.digest(),
      versions: this.versions(),
      facts:
        onlyOwners === undefined ? facts : facts.filter(({ owner }) => onlyOwners.includes(owner)),
      rows: {
        document: toWire(document.newerThan(other.versions.document)),
        targets: toWire(targets.newerThan(other.versions.targets)),
      },
      lapseGrace: this.knowledge.book.graceLeft(),
    };
  }

  private hasMoreThan({ versions }: PeerMessage): boolean {
    const own = this.versions();
    return own.document > versions.document || own.targets > versions.targets;
  }

  private versions(): TableVersions {
    const { document, targets } = this.knowledge.replicas;
    return { document: document.version, targets: targets.version };
  }

  private stateSelf(): void {
    const now = this.clock.monotonic();
    const doubted = this.knowledge.book.doubted();
    if (doubted.length > 0) this.gossip.state(doubtsFact, doubted, now);
    if (now - this.statedAt < restatePause) return;
    this.statedAt = now;
    this.gossip.state(vmFact, this.ownFact(), now);
  }

  private ownFact(): VmFact {
    const { peers, dataCentre } = this.identity;
    return { address: `${peers.host}:${peers.port}`, dataCentre, isStopping: this.isStopping };
  }

  private facts() {
    return this.gossip
      .facts(vmFact, this.clock.monotonic())
      .map(({ owner, age, value }) => ({ owner, age, value: value as VmFact }));
  }

  private heard(): {
    readonly owner: string;
    readonly age: Milliseconds;
    readonly value: VmFact;
  }[] {
    return this.facts().filter(({ owner }) => owner !== this.identity.name);
  }

  private chooseLive(): string | undefined {
    const live = this.heard().filter(({ age, value }) => age <= liveLimit && !value.isStopping);
    const here = live.filter(({ value }) => value.dataCentre === this.identity.dataCentre);
    const pool = here.length > 0 ? here : live;
    return pool[Math.floor(Math.random() * pool.length)]?.value.address;
  }

  private choosePeer(): string | undefined {
    const own = this.ownFact().address;
    const heard = this.heard();
    const live = heard.filter(({ age }) => age <= liveLimit).map(({ value }) => value);
    const local = live.filter(({ dataCentre }) => dataCentre === this.identity.dataCentre);
    const share =
      local.length >= manyLocalPeers ? shareOfLocalExchangesOfMany : shareOfLocalExchanges;
    const pool = local.length > 0 && Math.random() < share ? local : live;
    const addresses = pool.map(({ address }) => address);
    // Some exchanges go to peers that are known of but not heard, to mend a split.
    const liveAddresses = new Set(live.map(({ address }) => address));
    const unheard = [
      ...this.identity.seeds,
      ...[...this.fromStore.values(), ...heard.map(({ value }) => value)].map(
        ({ address }) => address,
      ),
    ].filter((address) => address !== own && !liveAddresses.has(address));
    const isExploring = addresses.length === 0 || Math.random() < shareOfExploringExchanges;
    const chosen = isExploring && unheard.length > 0 ? unheard : addresses;
    return chosen[Math.floor(Math.random() * chosen.length)];
  }
}
