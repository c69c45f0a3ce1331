//! The JSON messages of a gossip exchange between entry VMs, and the conversion of table
//! rows to and from their JSON form.
import type { Milliseconds } from "@lovagebend/common";
import type { GossipEntry } from "@lovagebend/membership";
import type { QuarantineExchange } from "@lovagebend/quarantine";
import type { Era, StoredRow, TableTransfer } from "@lovagebend/store";

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

/// Of each table, the era of the sender's version and whether `rows` are the whole table.
export interface TableHistory {
  readonly era: Era;
  readonly isWhole: boolean;
}

/// The operator's version of the document in force at the sender, -1 if there is none. `value`
/// is the document as base64, or `null` if the receiver presumably has it.
export interface SettingsInForce {
  readonly version: number;
  readonly value: string | null;
}

/// The two tables that peers send to each other.
export interface Tables {
  readonly document: TableTransfer;
  readonly targets: TableTransfer;
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
  /// The fields below are missing in messages of senders of older versions.
  readonly histories?:
    { readonly document: TableHistory; readonly targets: TableHistory } | undefined;
  readonly settings?: SettingsInForce | undefined;
  readonly quarantine?: QuarantineExchange;
  /// Whether a document that the receiver lacks has been left out, whatever the versions say.
  readonly withoutDocument?: boolean | undefined;
  /// Whether the reply is to leave such a document out, because the sender does not wait for it.
  readonly defersDocument?: boolean | undefined;
  /// The ages of the sender's views of the two tables; missing before it has views of both.
  readonly viewAges?: ViewAges | undefined;
}

export interface ViewAges {
  readonly document: Milliseconds;
  readonly targets: Milliseconds;
}

/// The fact that an entry VM publishes about itself.
export interface VmFact {
  readonly address: string;
  readonly dataCentre: string;
  readonly isStopping: boolean;
  /// Whether it answers requests that peers relay to it. Missing in older versions.
  readonly acceptsRelayed?: boolean | undefined;
  /// The services whose targets it hasn't reached for a while. Missing in older versions.
  readonly lostServices?: readonly string[] | undefined;
}

/// The tables as they are in a message.
export function describeTables({
  document,
  targets,
}: Tables): Pick<PeerMessage, "versions" | "histories" | "rows"> {
  return {
    versions: { document: document.revision.version, targets: targets.revision.version },
    histories: { document: describeHistory(document), targets: describeHistory(targets) },
    rows: { document: toWireRows(document.rows), targets: toWireRows(targets.rows) },
  };
}

/// The tables of a message. A sender of an older version names no eras: its rows count as of
/// `unnamedEra`.
export function readTables(
  { versions, histories, rows }: Pick<PeerMessage, "versions" | "histories" | "rows">,
  unnamedEra: Era,
): Tables {
  const read = (name: keyof Tables): TableTransfer => ({
    rows: fromWireRows(rows[name]),
    revision: { era: histories?.[name].era ?? unnamedEra, version: versions[name] },
    isWhole: histories?.[name].isWhole ?? false,
  });
  return { document: read("document"), targets: read("targets") };
}

function describeHistory({ revision, isWhole }: TableTransfer): TableHistory {
  return { era: revision.era, isWhole };
}

function toWireRows(rows: readonly StoredRow[]): WireRow[] {
  return rows.map(({ key, version, value }) => ({
    key,
    version,
    value: value?.toString("base64") ?? null,
  }));
}

function fromWireRows(rows: readonly WireRow[]): StoredRow[] {
  return rows.map(({ key, version, value }) => ({
    key,
    version,
    value: value === null ? undefined : Buffer.from(value, "base64"),
  }));
}
