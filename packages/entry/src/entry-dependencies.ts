//! The settings and dependencies that a deployment passes to an entry VM: addresses, time
//! limits, table names, the store and the codecs of its rows.
import type { EngineCalls, EnginePath } from "@lovagebend/attempts";
import type { TargetRegistry } from "@lovagebend/attempts";
import type { ListedTarget, RouteTable } from "@lovagebend/catalog";
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { HeaderNames } from "@lovagebend/forwarding";
import type { AdmissionOrder, SharedRetryBudgetOptions } from "@lovagebend/limits";
import type { EngineClient } from "@lovagebend/placement";
import type { RowStore } from "@lovagebend/store";
import type { Result } from "true-myth";
import type { CallerLimits } from "./caller-limits.js";

export interface Address {
  readonly host: string;
  readonly port: number;
}

/// The name and data centre of this entry VM and the addresses that it listens on. `seeds`
/// are the initial peer addresses as `host:port`; some may be stale.
export interface EntryIdentity {
  readonly name: string;
  readonly dataCentre: string;
  readonly callers: Address;
  readonly readiness: Address;
  readonly peers: Address;
  readonly metrics: Address | undefined;
  readonly seeds: readonly string[];
  readonly readinessPath: string;
  readonly metricsPath: string;
}

/// `retryBudget` bounds the retries. `shutdownTimeout` is the time from the stop request until
/// the process is killed from outside. During `drainDelay`, its first part, new connections may
/// still arrive, until the load balancer detects that the entry VM is not ready.
export interface EntryLimits {
  readonly retryBudget: SharedRetryBudgetOptions;
  readonly shutdownTimeout: Milliseconds;
  readonly drainDelay: Milliseconds;
  /// The time from a change in the store until it must be in force here.
  readonly propagationTime: Milliseconds;
  /// Who is admitted first while engines refuse requests; by workspace where it is missing.
  readonly admissionOrder?: AdmissionOrder | undefined;
  readonly callers: CallerLimits;
}

/// The tables of the store. `document` holds the operator's document under the key
/// `documentKey`, `targets` holds one row for each target, and `entryVms` one for each entry
/// VM, which writes it itself. `verdicts` holds one row for each part of a prompt that crashed
/// targets.
export interface TableNames {
  readonly document: string;
  readonly documentKey: string;
  readonly targets: string;
  readonly entryVms: string;
  readonly verdicts: string;
}

export interface EntryDependencies {
  readonly identity: EntryIdentity;
  readonly limits: EntryLimits;
  readonly tables: TableNames;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: RowStore;
  readonly headerNames: HeaderNames;
  /// Decodes the operator's document. Invalid parts are omitted and named in `faults`.
  readonly readDocument: (
    value: Buffer,
  ) => Result<{ readonly table: RouteTable; readonly faults: readonly string[] }, string>;
  readonly readTarget: (name: string, value: Buffer) => Result<ListedTarget, string>;
  /// Creates the client for engines, whose addresses it looks up in `targetRegistry` by name.
  readonly createEngineClient: (targetRegistry: TargetRegistry) => EngineCalls & EngineClient;
  readonly formatPath: (path: EnginePath) => string;
}
