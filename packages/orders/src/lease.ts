//! A lease stored in the table service. It has at most one holder at a time as long as clock
//! drift stays within the grace period, and each new holder gets a higher fencing number.
import { validate, type Clock, type Milliseconds } from "@lovagebend/common";
import type { Row, TableService } from "@lovagebend/platform";
import { z } from "zod";

/// A holder may act for `duration` after it sent the acquisition or renewal. Other
/// contenders wait for `duration + gracePeriod` from when they first read the row's current
/// version, each on its own monotonic clock, so that wall clocks are never compared. The grace
/// period tolerates clocks whose rates differ by up to `gracePeriod / duration`.
export interface LeaseOptions {
  readonly name: string;
  readonly holder: string;
  readonly table: TableService;
  readonly clock: Clock;
  readonly createNonce: () => string;
  readonly duration: Milliseconds;
  readonly gracePeriod: Milliseconds;
}

const leaseSchema = z.object({
  holder: z.string(),
  nonce: z.string(),
  fencingNumber: z.number().int(),
});
type LeaseRow = z.output<typeof leaseSchema>;

interface ObservedVersion {
  readonly version: number;
  readonly firstObservedAt: Milliseconds;
}

/// One contender for a lease. If the process of a holder is paused until after the lease has
/// expired, `fencingNumber` returns `undefined`. A pause between that check and the sending
/// of an order is not detected: only the fencing number protects against such an order.
export class Lease {
  private heldFencingNumber = 0;
  private validUntil: Milliseconds = 0;
  private observed: ObservedVersion | undefined;

  constructor(private readonly options: LeaseOptions) {}

  /// The fencing number for an order that is sent now; `undefined` if the lease is not held.
  fencingNumber(): number | undefined {
    return this.options.clock.monotonicTime() < this.validUntil
      ? this.heldFencingNumber
      : undefined;
  }

  /// Renews the lease if it is held; acquires it if it is free or has expired. Call this
  /// several times per `duration`. Never throws; a store failure leaves the lease as it is.
  async acquireOrRenew(): Promise<void> {
    const rows = await this.options.table.read([this.key]);
    if (rows.isErr) return;
    const row = rows.value[0];
    const lease = parseLease(row);
    if (row === undefined || lease === undefined) {
      await this.writeRow(1, row?.version ?? 0);
      return;
    }
    if (lease.holder === this.options.holder && this.fencingNumber() === lease.fencingNumber) {
      await this.writeRow(lease.fencingNumber, row.version);
      return;
    }
    if (this.hasExpired(row)) await this.writeRow(lease.fencingNumber + 1, row.version);
  }

  /// Releases the lease, so that another contender can acquire it before it expires.
  async release(): Promise<void> {
    if (this.fencingNumber() === undefined) return;
    this.validUntil = 0;
    const rows = await this.options.table.read([this.key]);
    const row = rows.isOk ? rows.value[0] : undefined;
    const lease = parseLease(row);
    if (row === undefined || lease?.holder !== this.options.holder) return;
    const value: LeaseRow = { ...lease, holder: "" };
    await this.options.table.transact(
      [{ key: this.key, version: row.version }],
      [{ key: this.key, value }],
    );
  }

  private get key(): string {
    return `leases/${this.options.name}`;
  }

  private hasExpired(row: Row): boolean {
    const now = this.options.clock.monotonicTime();
    if (parseLease(row)?.holder === "") return true;
    if (this.observed?.version !== row.version)
      this.observed = { version: row.version, firstObservedAt: now };
    return now - this.observed.firstObservedAt >= this.options.duration + this.options.gracePeriod;
  }

  // The lease starts when the write is sent, not when the response arrives, since the store
  // may apply the write at any time after it was sent.
  private async writeRow(fencingNumber: number, version: number): Promise<void> {
    const { table, clock, holder, duration } = this.options;
    const sentAt = clock.monotonicTime();
    const nonce = this.options.createNonce();
    const value: LeaseRow = { holder, nonce, fencingNumber };
    const outcome = await table.transact([{ key: this.key, version }], [{ key: this.key, value }]);
    const isHeld =
      outcome.kind === "committed" || (outcome.kind === "unknown" && (await this.isStored(nonce)));
    if (!isHeld) return;
    this.heldFencingNumber = fencingNumber;
    this.validUntil = sentAt + duration;
  }

  private async isStored(nonce: string): Promise<boolean> {
    const rows = await this.options.table.read([this.key]);
    return rows.isOk && parseLease(rows.value[0])?.nonce === nonce;
  }
}

function parseLease(row: Row | undefined): LeaseRow | undefined {
  if (row === undefined) return undefined;
  const parsed = validate(leaseSchema, row.value);
  return parsed.isOk ? parsed.value : undefined;
}
