//! A lease in the table service: at most one holder gives orders at a time, as far
//! as clocks allow, and each new holder has a higher fencing number.
import { validate, type Clock, type Milliseconds } from "@lovagebend/common";
import type { Row, TableService } from "@lovagebend/platform";
import { z } from "zod";

/// `duration` is how long a holder may act after a renewal was sent; `grace` is how
/// much longer others wait. Others count from when they first saw the row's present
/// version, on their own clock, so wall clocks are never compared. The grace covers
/// clocks that drift apart by up to `grace / duration`.
export interface LeaseOptions {
  readonly name: string;
  readonly holder: string;
  readonly table: TableService;
  readonly clock: Clock;
  readonly createNonce: () => string;
  readonly duration: Milliseconds;
  readonly grace: Milliseconds;
}

const leaseSchema = z.object({
  holder: z.string(),
  nonce: z.string(),
  fencingNumber: z.number().int(),
});
type LeaseRow = z.output<typeof leaseSchema>;

interface Seen {
  readonly version: number;
  readonly since: Milliseconds;
}

/// One contender for a lease. A holder that was paused beyond its lease finds that
/// `fencingNumber` is `undefined`; what it sends after that check and before the
/// next is covered by the fencing number alone.
export class Lease {
  private heldNumber = 0;
  private validUntil: Milliseconds = 0;
  private seen: Seen | undefined;

  constructor(private readonly options: LeaseOptions) {}

  /// The number to put on an order now, or `undefined` when the lease is not held.
  fencingNumber(): number | undefined {
    return this.options.clock.monotonic() < this.validUntil ? this.heldNumber : undefined;
  }

  /// Acquires or renews the lease if that is due; call it several times a duration.
  async attend(): Promise<void> {
    const rows = await this.options.table.read([this.key]);
    if (rows.isErr) return;
    const row = rows.value[0];
    const lease = parseLease(row);
    if (row === undefined || lease === undefined) {
      await this.write(1, row?.version ?? 0);
      return;
    }
    if (lease.holder === this.options.holder && this.fencingNumber() === lease.fencingNumber) {
      await this.write(lease.fencingNumber, row.version);
      return;
    }
    if (this.hasLapsed(row)) await this.write(lease.fencingNumber + 1, row.version);
  }

  /// Gives the lease up, so that another holder need not wait for it to lapse.
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

  private hasLapsed(row: Row): boolean {
    const now = this.options.clock.monotonic();
    if (parseLease(row)?.holder === "") return true;
    if (this.seen?.version !== row.version) this.seen = { version: row.version, since: now };
    return now - this.seen.since >= this.options.duration + this.options.grace;
  }

  // The lease counts from before the write was sent, since the store may apply it
  // any time after that.
  private async write(fencingNumber: number, version: number): Promise<void> {
    const { table, clock, holder, duration } = this.options;
    const sentAt = clock.monotonic();
    const nonce = this.options.createNonce();
    const value: LeaseRow = { holder, nonce, fencingNumber };
    const outcome = await table.transact([{ key: this.key, version }], [{ key: this.key, value }]);
    const held =
      outcome.kind === "committed" || (outcome.kind === "unknown" && (await this.isStored(nonce)));
    if (!held) return;
    this.heldNumber = fencingNumber;
    this.validUntil = sentAt + duration;
  }

  private async isStored(nonce: string): Promise<boolean> {
    const rows = await this.options.table.read([this.key]);
    return rows.isOk && parseLease(rows.value[0])?.nonce === nonce;
  }
}

function parseLease(row: Row | undefined): LeaseRow | undefined {
  if (row === undefined) return undefined;
  const value = validate(leaseSchema, row.value);
  return value.isOk ? value.value : undefined;
}
