//! The entry VM's replicas of the operator's document and of the targets. Updates arrive from
//! the store's change feeds and from peers; the highest version wins and is never replaced
//! by an earlier one.
import { TargetRegistry } from "@lovagebend/attempts";
import type { RouteTable } from "@lovagebend/catalog";
import { guardCallback, type Milliseconds } from "@lovagebend/common";
import {
  followTable,
  TableReplica,
  type FeedTiming,
  type StoredRow,
  type TableChange,
} from "@lovagebend/store";
import { Subject, Subscription } from "rxjs";
import { Result } from "true-myth";
import type { EntryDependencies } from "./entry-dependencies.js";

// Changes of targets come in bursts. Batching them saves calls to the store and takes a
// tenth of the two seconds within which a leaving target must be detected.
const targetBatchingDelay: Milliseconds = 150;
const documentBatchingDelay: Milliseconds = 50;
// A third of those two seconds.
const maximumBatchingDelay: Milliseconds = 650;
// A connection that no longer delivers data is detected only when a poll times out, and the
// grace period of lapsed entries follows. Both have to end in time for targets that leave.
const targetPollTimeout: Milliseconds = 1_000;
// The feed of the targets detects such connections for this one too.
const documentPollTimeout: Milliseconds = 10_000;
// For an entry VM that receives changes from peers. It polls the store as a fallback in case
// they don't arrive.
const relayedFeedTiming: FeedTiming = {
  minimumBatchingDelay: 5_000,
  maximumBatchingDelay: 5_000,
  longPollTimeout: targetPollTimeout,
};

/// The replicated tables, which peers also send to each other.
export interface Replicas {
  readonly document: TableReplica;
  readonly targets: TableReplica;
}

export class ReplicatedState {
  readonly replicas: Replicas = { document: new TableReplica(), targets: new TableReplica() };
  /// Whether this entry VM polls the store for each change of targets. The others receive
  /// the changes from peers, which saves the store most of its calls.
  shouldFollowDirectly: () => boolean = () => true;
  /// Called after changes from the store that peers may lack.
  onStoreChanges: () => void = () => undefined;
  private readonly storeReturns = new Subject<void>();
  private table: RouteTable | undefined;

  constructor(
    private readonly dependencies: EntryDependencies,
    readonly targetRegistry: TargetRegistry,
  ) {
    targetRegistry.isDeclared = (service) => this.table?.services.has(service) === true;
  }

  /// The settings in force; `undefined` until the first are received.
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /// Whether settings and targets have been received, so that requests can be served.
  get isComplete(): boolean {
    return this.table !== undefined && this.replicas.targets.version >= 0;
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
        longPollTimeout: documentPollTimeout,
      }),
      knownVersion: () => this.replicas.document.version,
      pollRepeats: this.storeReturns,
    }).subscribe(
      guardCallback(logger, "settings feed", (change: TableChange) => {
        this.applyChange(this.replicas.document, change, (rows, from) => {
          this.applyDocuments(rows, from);
        });
      }),
    );
    subscription.add(
      followTable({
        store,
        table: tables.targets,
        clock,
        logger,
        timing: () =>
          this.shouldFollowDirectly()
            ? {
                minimumBatchingDelay: targetBatchingDelay,
                maximumBatchingDelay,
                longPollTimeout: targetPollTimeout,
              }
            : relayedFeedTiming,
        knownVersion: () => this.replicas.targets.version,
      }).subscribe(
        guardCallback(logger, "target feed", (change: TableChange) => {
          if (change.kind === "away") this.targetRegistry.markStoreUnavailable();
          if (change.kind === "back") {
            this.targetRegistry.markStoreAvailable();
            this.storeReturns.next();
          }
          this.applyChange(this.replicas.targets, change, (rows) => {
            this.applyTargets(rows);
          });
        }),
      ),
    );
    return subscription;
  }

  /// Merges rows from a peer. `lapseGrace` is how much longer lapsed entries may return,
  /// according to the store outages that the peer detected. Returns whether any row changed.
  mergePeerRows(
    rows: { readonly document: readonly StoredRow[]; readonly targets: readonly StoredRow[] },
    versions: { readonly document: number; readonly targets: number },
    peer: string,
    lapseGrace: Milliseconds,
  ): boolean {
    const documents = this.replicas.document.apply(rows.document, versions.document);
    const targets = this.replicas.targets.apply(rows.targets, versions.targets);
    this.applyDocuments(documents, peer);
    // An entry VM that polls the store directly detects its outages itself.
    const hasOwnView = this.shouldFollowDirectly() && this.targetRegistry.isStoreAvailable;
    this.applyTargets(targets, hasOwnView ? 0 : lapseGrace);
    return documents.length > 0 || targets.length > 0;
  }

  private applyChange(
    replica: TableReplica,
    change: TableChange,
    applyRows: (rows: readonly StoredRow[], from: string) => void,
  ): void {
    switch (change.kind) {
      case "away":
      case "back":
        return;
      case "whole":
        this.deliverStoreRows(replica.applySnapshot(change.rows, change.version), applyRows);
        return;
      case "rows":
        this.deliverStoreRows(replica.apply(change.rows, change.version), applyRows);
    }
  }

  private deliverStoreRows(
    changedRows: readonly StoredRow[],
    applyRows: (rows: readonly StoredRow[], from: string) => void,
  ): void {
    applyRows(changedRows, "store");
    if (changedRows.length > 0) this.onStoreChanges();
  }

  private applyDocuments(rows: readonly StoredRow[], from: string): void {
    const { tables, logger, readDocument } = this.dependencies;
    for (const { key, value, version } of rows) {
      if (key !== tables.documentKey || value === undefined) continue;
      const read = decode(() => readDocument(value));
      if (read.isErr) {
        logger.error("settings not readable", { from, version, reason: read.error });
        continue;
      }
      const { table, faults } = read.value;
      if (this.table !== undefined && table.version <= this.table.version) {
        const inForce = this.table.version;
        logger.info("older settings left", { from, settings: table.version, inForce });
        continue;
      }
      const before = this.table?.version;
      this.table = table;
      this.targetRegistry.applyDeclarations();
      logger.info("settings in force", { from, before, settings: table.version, faults });
    }
  }

  private applyTargets(rows: readonly StoredRow[], lapseGrace?: Milliseconds): void {
    const { logger, readTarget } = this.dependencies;
    for (const { key, value } of rows) {
      if (value === undefined) {
        this.targetRegistry.markUnlisted(key, lapseGrace);
        continue;
      }
      const target = decode(() => readTarget(key, value));
      if (target.isOk) this.targetRegistry.addOrUpdate(target.value);
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
