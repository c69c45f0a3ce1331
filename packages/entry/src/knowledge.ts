//! What the entry VM knows of the operator's document and of the targets, whoever told
//! it: the store's feeds or a peer. The highest version counts, for good.
import { TargetBook } from "@lovagebend/attempts";
import type { RouteTable } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import {
  followTable,
  TableReplica,
  type FeedTiming,
  type StoredRow,
  type TableChange,
} from "@lovagebend/store";
import { Subscription } from "rxjs";
import type { EntryPorts } from "./ports.js";

// Changes of targets come in runs; gathering them saves calls to the store and costs a
// tenth of the two seconds in which a leaving target must be heard of.
const targetBatchingDelay: Milliseconds = 150;
const documentBatchingDelay: Milliseconds = 50;
// A third of those two seconds.
const maximumBatchingDelay: Milliseconds = 650;
// Below the 30 s that the store's interface allows, so that a silent connection shows.
const longPollTimeout: Milliseconds = 10_000;
// Of an entry VM that hears of changes from peers: the store is asked in case they do not.
const relayedFeedTiming: FeedTiming = {
  minimumBatchingDelay: 5_000,
  maximumBatchingDelay: 5_000,
  longPollTimeout: 20_000,
};

/// The tables that peers tell each other, by their part in the router.
export interface Replicas {
  readonly document: TableReplica;
  readonly targets: TableReplica;
}

export class ReplicatedState {
  readonly replicas: Replicas = { document: new TableReplica(), targets: new TableReplica() };
  /// Whether this entry VM asks the store for each change of targets; the others hear of
  /// them from peers, which saves the store most of its calls.
  shouldFollowDirectly: () => boolean = () => true;
  /// Called when the store told of changes that peers may not know.
  onStoreChanges: () => void = () => undefined;
  private table: RouteTable | undefined;

  constructor(
    private readonly ports: EntryPorts,
    readonly book: TargetBook,
  ) {}

  /// The settings in force; `undefined` before any are known.
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /// Whether settings and targets are known, so that requests can be served.
  get isComplete(): boolean {
    return this.table !== undefined && this.replicas.targets.version >= 0;
  }

  /// Follows the store until the subscription is ended.
  followStore(): Subscription {
    const { store, tables, clock, logger } = this.ports;
    const subscription = followTable({
      store,
      table: tables.document,
      clock,
      logger,
      timing: () => ({
        minimumBatchingDelay: documentBatchingDelay,
        maximumBatchingDelay,
        longPollTimeout,
      }),
      knownVersion: () => this.replicas.document.version,
    }).subscribe((change) => {
      this.applyChange(this.replicas.document, change, (rows, from) => {
        this.applyDocuments(rows, from);
      });
    });
    subscription.add(
      followTable({
        store,
        table: tables.targets,
        clock,
        logger,
        timing: () =>
          this.shouldFollowDirectly()
            ? { minimumBatchingDelay: targetBatchingDelay, maximumBatchingDelay, longPollTimeout }
            : relayedFeedTiming,
        knownVersion: () => this.replicas.targets.version,
      }).subscribe((change) => {
        if (change.kind === "away") this.book.storeLost();
        else this.book.storeRegained();
        this.applyChange(this.replicas.targets, change, (rows) => {
          this.applyTargets(rows);
        });
      }),
    );
    return subscription;
  }

  /// Takes in rows that a peer knows. `grace` is how much longer entries that are gone may
  /// come back, by what the peer knows of the store. Returns whether there was news.
  mergePeerRows(
    rows: { readonly document: readonly StoredRow[]; readonly targets: readonly StoredRow[] },
    versions: { readonly document: number; readonly targets: number },
    peer: string,
    lapseGrace: Milliseconds,
  ): boolean {
    const documents = this.replicas.document.apply(rows.document, versions.document);
    const targets = this.replicas.targets.apply(rows.targets, versions.targets);
    this.applyDocuments(documents, peer);
    // Who asks the store itself knows whether it was away.
    this.applyTargets(targets, this.shouldFollowDirectly() ? 0 : lapseGrace);
    return documents.length > 0 || targets.length > 0;
  }

  private applyChange(
    replica: TableReplica,
    change: TableChange,
    applyRows: (rows: readonly StoredRow[], from: string) => void,
  ): void {
    switch (change.kind) {
      case "away":
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
    const { tables, logger, readDocument } = this.ports;
    for (const { key, value, version } of rows) {
      if (key !== tables.documentKey || value === undefined) continue;
      const read = readDocument(value);
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
      logger.info("settings in force", { from, before, settings: table.version, faults });
    }
  }

  private applyTargets(rows: readonly StoredRow[], lapseGrace: Milliseconds = 0): void {
    const { logger, readTarget } = this.ports;
    for (const { key, value } of rows) {
      if (value === undefined) {
        this.book.unlist(key, lapseGrace);
        continue;
      }
      const target = readTarget(key, value);
      if (target.isOk) this.book.list(target.value);
      else logger.warn("target entry not readable", { target: key, reason: target.error });
    }
  }
}
