//! The entry VM's replicas of the operator's document and of the targets. Updates arrive from
//! the store's change feeds and from peers. The replicas follow the store, also when it comes
//! back from a copy. Of the operator's documents the one with the highest version of the
//! operator's own is in force, and is never replaced by an earlier one.
import { TargetRegistry } from "@lovagebend/attempts";
import type { RouteTable } from "@lovagebend/catalog";
import { guardCallback, type Milliseconds } from "@lovagebend/common";
import {
  followTable,
  isLater,
  storeSource,
  TableReplica,
  type Revision,
  type StoredRow,
  type TableChange,
  type TableTransfer,
} from "@lovagebend/store";
import { Subject, Subscription } from "rxjs";
import { Result } from "true-myth";
import type { EntryDependencies } from "./entry-dependencies.js";
import type { Tables } from "./peer-message.js";
import { StoreViewAge } from "./store-view-age.js";

// Changes of targets come in bursts. Batching them saves calls to the store and takes a
// tenth of the two seconds within which a leaving target must be detected.
const targetBatchingDelay: Milliseconds = 150;
const documentBatchingDelay: Milliseconds = 50;
// A third of those two seconds.
const maximumBatchingDelay: Milliseconds = 650;
// A connection that no longer delivers data is detected only when a poll times out, and the
// grace period of lapsed entries follows. Both have to end in time for targets that leave.
const minimumTargetPollTimeout: Milliseconds = 1_000;
// What a follower has seen reaches the others of its data centre within this time.
const relayTime: Milliseconds = 1_000;
// The part of the remaining propagation time for which a poll may wait. The rest is for another call
// over a new connection.
const pollTimeoutShare = 2 / 3;
// A follower's view is older than its poll takes by the time between two polls.
const recentViewMargin: Milliseconds = 200;
// The feed of the targets detects such connections for this one too.
const documentPollTimeout: Milliseconds = 10_000;
// For an entry VM that receives changes from peers, and asks the store only when they are missing.
const confirmationPollTimeout: Milliseconds = 50;
// Reserved for asking the store and for applying what it answers, before changes have to be in force.
const confirmationTime: Milliseconds = 500;
// A document that is lost on its way to all followers is still found after this time.
const documentConfirmationInterval: Milliseconds = 30_000;

/// The replicated tables, which peers also send to each other.
export interface Replicas {
  readonly document: TableReplica;
  readonly targets: TableReplica;
}

/// What a peer sent. `document` is set if the peer has a later one in force.
export interface PeerState {
  readonly tables: Tables;
  readonly document: Buffer | undefined;
  readonly lapseGrace: Milliseconds;
}

/// A peer's view of one table: its age, and the state of the table.
export interface PeerView {
  readonly table: keyof Replicas;
  readonly age: Milliseconds;
  readonly revision: Revision;
  /// A time of the monotonic clock at which the peer had not stated the age yet.
  readonly askedAt: Milliseconds;
}

/// The operator's document in force, as it was received.
interface Settings {
  readonly table: RouteTable;
  readonly value: Buffer;
}

export class ReplicatedState {
  readonly replicas: Replicas = { document: new TableReplica(), targets: new TableReplica() };
  /// Whether this entry VM follows the store closely. The others receive the changes from peers,
  /// which saves the store most of its calls.
  shouldFollowDirectly: () => boolean = () => true;
  private readonly viewAges: Readonly<Record<keyof Replicas, StoreViewAge>>;
  private documentConfirmedAt: Milliseconds = -Infinity;
  /// Called after changes from the store that peers may lack.
  onStoreChanges: () => void = () => undefined;
  private readonly storeReturns = new Subject<void>();
  private settings: Settings | undefined;

  constructor(
    private readonly dependencies: EntryDependencies,
    readonly targetRegistry: TargetRegistry,
  ) {
    const { clock } = dependencies;
    this.viewAges = { document: new StoreViewAge(clock), targets: new StoreViewAge(clock) };
    targetRegistry.isDeclared = (service) => this.routes?.services.has(service) === true;
  }

  /// The settings in force; `undefined` until the first are received.
  get routes(): RouteTable | undefined {
    return this.settings?.table;
  }

  /// The document in force, for peers with an earlier one.
  get document(): Buffer | undefined {
    return this.settings?.value;
  }

  /// Whether settings and targets have been received, so that requests can be served.
  get isComplete(): boolean {
    return this.settings !== undefined && this.replicas.targets.revision.version >= 0;
  }

  /// Follows both tables in the store until the returned subscription is cancelled.
  followStore(): Subscription {
    const { store, tables, clock, logger } = this.dependencies;
    const subscription = followTable({
      store,
      table: tables.document,
      clock,
      logger,
      timing: () => ({
        minimumBatchingDelay: documentBatchingDelay,
        maximumBatchingDelay,
        longPollTimeout: this.shouldFollowDirectly()
          ? documentPollTimeout
          : confirmationPollTimeout,
      }),
      knownRevision: () => this.replicas.document.revision,
      pollRepeats: this.storeReturns,
      pause: () => {
        const age = clock.monotonicTime() - this.documentConfirmedAt;
        return Math.min(this.getRelayedTime("document"), documentConfirmationInterval - age);
      },
      recordCurrent: (time) => {
        this.viewAges.document.recordCurrent(time);
        this.documentConfirmedAt = time;
      },
    }).subscribe(
      guardCallback(logger, "settings feed", (change: TableChange) => {
        this.applyChange(tables.document, this.replicas.document, change, (rows) => {
          this.applyDocuments(rows, storeSource);
        });
      }),
    );
    subscription.add(
      followTable({
        store,
        table: tables.targets,
        clock,
        logger,
        timing: () => ({
          minimumBatchingDelay: targetBatchingDelay,
          maximumBatchingDelay,
          longPollTimeout: this.shouldFollowDirectly()
            ? this.targetPollTimeout
            : confirmationPollTimeout,
        }),
        knownRevision: () => this.replicas.targets.revision,
        pause: () => this.getRelayedTime("targets"),
        recordCurrent: (time) => {
          this.viewAges.targets.recordCurrent(time);
        },
      }).subscribe(
        guardCallback(logger, "target feed", (change: TableChange) => {
          if (change.kind === "away") this.targetRegistry.markStoreUnavailable();
          if (change.kind === "back") {
            this.targetRegistry.markStoreAvailable();
            this.storeReturns.next();
          }
          this.applyChange(tables.targets, this.replicas.targets, change, (rows) => {
            this.applyTargets(rows);
          });
        }),
      ),
    );
    subscription.add(
      store.era.changes.subscribe((change) => {
        const { document, targets } = this.replicas;
        logger.warn("store restored", {
          ...change,
          documentVersion: document.revision.version,
          targetsVersion: targets.revision.version,
          readAgain: [tables.document, tables.targets],
        });
        this.targetRegistry.markStoreRestored();
      }),
    );
    return subscription;
  }

  /// Merges the state of a peer. Its `lapseGrace` is how much longer lapsed entries may return,
  /// according to the store outages that the peer detected. Returns whether anything changed.
  mergePeerState({ tables, document, lapseGrace }: PeerState, peer: string): boolean {
    const { store, tables: names } = this.dependencies;
    const { replicas, targetRegistry } = this;
    const { era } = replicas.targets.revision;
    const documents = this.update(names.document, replicas.document, tables.document, peer);
    const targets = this.update(names.targets, replicas.targets, tables.targets, peer);
    const isNewEra = replicas.targets.revision.era > era;
    store.era.observePeer(
      Math.max(replicas.document.revision.era, replicas.targets.revision.era),
      peer,
    );
    this.applyDocuments(documents, peer);
    const hasLaterDocument = document !== undefined && this.takeDocument(document, peer);
    // An entry VM that polls the store directly detects its outages itself.
    const hasOwnView = this.shouldFollowDirectly() && targetRegistry.isStoreAvailable;
    const ordinaryGrace = hasOwnView ? 0 : lapseGrace;
    // The peer may have started after the restore, so that it knows of no grace.
    this.applyTargets(targets, isNewEra ? Infinity : ordinaryGrace);
    return documents.length > 0 || targets.length > 0 || hasLaterDocument;
  }

  /// The age of this entry VM's view of a table. Infinite before the first answer of the store.
  getViewAge(table: keyof Replicas): Milliseconds {
    const { document, targets } = this.viewAges;
    switch (table) {
      case "targets":
        return targets.age;
      case "document":
        // The long poll for documents of a follower is open all the time, and the feed of the
        // targets notices if it no longer delivers.
        return this.shouldFollowDirectly() ? Math.min(document.age, targets.age) : document.age;
    }
  }

  /// Takes over the age of a peer's view, if this entry VM holds what the peer does.
  recordPeerView({ table, age, revision, askedAt }: PeerView): void {
    if (isLater(revision, this.replicas[table].revision)) return;
    this.viewAges[table].recordCurrent(askedAt - age);
  }

  /// Whether the view of the targets is about as recent as those of the followers, whose polls take
  /// some time.
  hasRecentTargets(): boolean {
    return this.getViewAge("targets") < this.targetPollTimeout + recentViewMargin;
  }

  // How long a follower's poll for targets waits for changes.
  private get targetPollTimeout(): Milliseconds {
    const { propagationTime } = this.dependencies.limits;
    return Math.max(
      minimumTargetPollTimeout,
      Math.round((propagationTime - relayTime) * pollTimeoutShare),
    );
  }

  // For how long this entry VM may rely on its peers for changes of a table.
  private getRelayedTime(table: keyof Replicas): Milliseconds {
    if (this.shouldFollowDirectly()) return 0;
    const { propagationTime } = this.dependencies.limits;
    return Math.max(0, propagationTime - confirmationTime - this.viewAges[table].age);
  }

  private applyChange(
    table: string,
    replica: TableReplica,
    change: TableChange,
    applyRows: (rows: readonly StoredRow[]) => void,
  ): void {
    switch (change.kind) {
      case "away":
      case "back":
        return;
      case "whole":
      case "rows": {
        const isWhole = change.kind === "whole";
        const { rows, era, version } = change;
        const replacesLater = change.kind === "whole" && change.replacesLater;
        const transfer = { rows, revision: { era, version }, isWhole, replacesLater };
        const changed = this.update(table, replica, transfer, storeSource);
        applyRows(changed);
        if (changed.length > 0) this.onStoreChanges();
      }
    }
  }

  private update(
    table: string,
    replica: TableReplica,
    transfer: TableTransfer,
    from: string,
  ): StoredRow[] {
    const before = replica.revision;
    const changed = replica.applyTransfer(transfer);
    const after = replica.revision;
    if (after.era > before.era && before.version >= 0)
      this.dependencies.logger.warn("table replaced", {
        table,
        from,
        before,
        after,
        rows: changed.length,
        removed: changed.filter(({ value }) => value === undefined).length,
      });
    return changed;
  }

  private applyDocuments(rows: readonly StoredRow[], from: string): void {
    for (const { key, value } of rows)
      if (key === this.dependencies.tables.documentKey && value !== undefined)
        this.takeDocument(value, from);
  }

  // Returns whether the document is in force now.
  private takeDocument(value: Buffer, from: string): boolean {
    const { logger, readDocument } = this.dependencies;
    if (this.settings?.value.equals(value) === true) return false;
    const read = decode(() => readDocument(value));
    if (read.isErr) {
      logger.error("settings not readable", { from, reason: read.error });
      return false;
    }
    const { table, faults } = read.value;
    const before = this.routes?.version;
    if (before !== undefined && table.version <= before) {
      logger.info("older settings left", { from, settings: table.version, inForce: before });
      return false;
    }
    this.settings = { table, value };
    this.targetRegistry.applyDeclarations();
    logger.info("settings in force", { from, before, settings: table.version, faults });
    return true;
  }

  private applyTargets(rows: readonly StoredRow[], lapseGrace?: Milliseconds): void {
    const { logger, readTarget } = this.dependencies;
    for (const { key, value } of rows) {
      if (value === undefined) {
        this.targetRegistry.markUnlisted(key, lapseGrace);
        continue;
      }
      const target = decode(() => readTarget(key, value));
      if (target.isOk)
        this.targetRegistry.addOrUpdate(target.value, this.replicas.targets.revision.era);
      else logger.warn("target entry could not be decoded", { target: key, reason: target.error });
    }
  }
}

// An exception for one row must not keep the others from being applied.
function decode<Value>(read: () => Result<Value, string>): Result<Value, string> {
  try {
    return read();
  } catch (error) {
    return Result.err(String(error));
  }
}
