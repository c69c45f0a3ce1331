//! The JSON messages of a gossip exchange between entry VMs, and the conversion of table
//! rows to and from their JSON form.
import type { Milliseconds } from "@lovagebend/common";
import type { GossipEntry } from "@lovagebend/membership";
import type { QuarantineExchange } from "@lovagebend/quarantine";
import type { StoredRow } from "@lovagebend/store";

/// A row of a table as JSON. `value` is base64, or `null` if the row was removed.
export interface WireRow {
  readonly key: string;
  readonly version: number;
  readonly value: string | null;
}

/// The versions that the sender's replicas of the two tables have reached.
export interface TableVersions {
  readonly document: number;
  readonly targets: number;
}

/// One side of an exchange. `digest` holds the latest fact version of each owner that the
/// sender knows, and `versions` those of its tables. `rows` and `facts` are those that the
/// receiver presumably lacks. The opening message of an exchange carries only the sender's
/// own facts, because the receiver's versions are not known yet.
export interface PeerMessage {
  readonly digest: Readonly<Record<string, number>>;
  readonly versions: TableVersions;
  readonly facts: readonly GossipEntry[];
  readonly rows: { readonly document: readonly WireRow[]; readonly targets: readonly WireRow[] };
  /// How much longer targets with a lapsed entry stay listed, because the sender detected an
  /// outage of the store. 0 if there was none recently.
  readonly lapseGrace: Milliseconds;
  /// A sender of an older version has none.
  readonly quarantine?: QuarantineExchange;
}

/// The fact that an entry VM publishes about itself.
export interface VmFact {
  readonly address: string;
  readonly dataCentre: string;
  readonly isStopping: boolean;
}

export function toWireRows(rows: readonly StoredRow[]): WireRow[] {
  return rows.map(({ key, version, value }) => ({
    key,
    version,
    value: value?.toString("base64") ?? null,
  }));
}

export function fromWireRows(rows: readonly WireRow[]): StoredRow[] {
  return rows.map(({ key, version, value }) => ({
    key,
    version,
    value: value === null ? undefined : Buffer.from(value, "base64"),
  }));
}
