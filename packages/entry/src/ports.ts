//! What an entry VM takes from the deployment that it runs in.
import type { EngineCalls } from "@lovagebend/attempts";
import type { TargetBook } from "@lovagebend/attempts";
import type { ListedTarget, RouteTable } from "@lovagebend/catalog";
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { HeaderNames } from "@lovagebend/forwarding";
import type { RepeatBudgetTerms } from "@lovagebend/limits";
import type { EngineOrders } from "@lovagebend/placement";
import type { PathPart } from "@lovagebend/routing";
import type { RowStore } from "@lovagebend/store";
import type { Result } from "true-myth";

export interface Address {
  readonly host: string;
  readonly port: number;
}

/// Who this entry VM is and where it listens. `seeds` are peer addresses to begin with,
/// as `host:port`; some may be stale.
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

/// `grace` is the time from the request to stop until the process is ended from outside.
/// For `unreadyTime` of it new connections may still come, until the balancer has noticed.
export interface EntryTerms {
  readonly repeats: RepeatBudgetTerms;
  readonly grace: Milliseconds;
  readonly unreadyTime: Milliseconds;
}

/// The tables of the store: the operator's document stands in `document` under
/// `documentKey`, each target in `targets`, and entry VMs list themselves in `entryVms`.
export interface TableNames {
  readonly document: string;
  readonly documentKey: string;
  readonly targets: string;
  readonly entryVms: string;
}

export interface EntryPorts {
  readonly identity: EntryIdentity;
  readonly terms: EntryTerms;
  readonly tables: TableNames;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: RowStore;
  readonly names: HeaderNames;
  /// Decodes the operator's document. Unreadable parts are left out and named in `faults`.
  readonly readDocument: (
    value: Buffer,
  ) => Result<{ readonly table: RouteTable; readonly faults: readonly string[] }, string>;
  readonly readTarget: (name: string, value: Buffer) => Result<ListedTarget, string>;
  /// Calls to engines, which `book` finds by name.
  readonly engines: (book: TargetBook) => EngineCalls & EngineOrders;
  readonly formatPath: (parts: readonly PathPart[], book: TargetBook) => string;
}
