//! What entry VMs send each other in an exchange, and its rows as JSON carries them.
import type { Milliseconds } from "@lovagebend/common";
import type { GossipEntry } from "@lovagebend/membership";
import type { StoredRow } from "@lovagebend/store";

/// A row of a table; `value` is base64, `null` for a row that was removed.
export interface WireRow {
  readonly key: string;
  readonly version: number;
  readonly value: string | null;
}

/// How far the copies of the two tables have come.
export interface TableVersions {
  readonly document: number;
  readonly targets: number;
}

/// One side of an exchange. `digest` and `versions` are how far the sender has come; `rows`
/// and `facts` are what it believes the other lacks.
export interface PeerMessage {
  readonly digest: Readonly<Record<string, number>>;
  readonly versions: TableVersions;
  readonly facts: readonly GossipEntry[];
  readonly rows: { readonly document: readonly WireRow[]; readonly targets: readonly WireRow[] };
  /// How much longer targets whose entries are gone keep their places, since the sender
  /// knows that the store was away.
  readonly lapseGrace: Milliseconds;
}

/// What an entry VM states of itself.
export interface VmFact {
  readonly address: string;
  readonly dataCentre: string;
  readonly isStopping: boolean;
}

// An entry that another version wrote, or one that cannot be read, names no peer.
export function parseVmFact(value: Buffer): VmFact | undefined {
  try {
    const fact = JSON.parse(value.toString("utf8")) as Partial<VmFact>;
    const isReadable = typeof fact.address === "string" && typeof fact.dataCentre === "string";
    return isReadable ? (fact as VmFact) : undefined;
  } catch {
    return undefined;
  }
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
