//! Claims and verdicts of one entry VM, written to the table service in groups
//! so that many requests share one transaction.
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { Row, TableService } from "@lovagebend/platform";
import { ClaimState, settled, type Claim, type Verdict } from "./claim.js";
import { GroupWriter, type WriteOutcome } from "./group-writer.js";

/// A request to be claimed. `deadline` is a monotonic reading.
export interface ClaimRequest {
  readonly key: string;
  readonly requestDigest: string;
  readonly deadline: Milliseconds;
}

/// `granted`: this caller alone may run the request, once. `settled`: the key
/// has a verdict. `held`: another holder may be running it. `mismatch`: the key
/// belongs to another request. `unavailable`: nobody was granted anything here;
/// the store did not say whether the key is free. The ledger then goes on trying
/// to close the key, so that it does not stay held for nothing.
export type ClaimOutcome =
  | { readonly kind: "granted"; readonly claim: Claim }
  | { readonly kind: "settled"; readonly claim: Claim }
  | { readonly kind: "held"; readonly holder: string }
  | { readonly kind: "mismatch" }
  | { readonly kind: "unavailable" };

export interface ClaimLedgerOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly holder: string;
  readonly createNonce: () => string;
}

const shortestBackoff: Milliseconds = 50;
const longestBackoff: Milliseconds = 2_000;
const largestBacklog = 10_000;

/// The claims of one entry VM.
export class ClaimLedger {
  private readonly writer: GroupWriter;
  private readonly unsettled = new Map<string, { claim: Claim; verdict: Verdict }>();

  constructor(private readonly options: ClaimLedgerOptions) {
    this.writer = new GroupWriter(options.table);
  }

  /// Verdicts that the store has not confirmed yet.
  get backlog(): number {
    return this.unsettled.size;
  }

  /// Claims a request, trying again until its deadline while the store is silent.
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const { clock, holder, createNonce } = this.options;
    const claim: Claim = {
      state: ClaimState.Held,
      holder,
      nonce: createNonce(),
      requestDigest: request.requestDigest,
      answer: null,
    };
    let mayExist = false;
    for (let attempt = 0; clock.monotonic() < request.deadline; attempt += 1) {
      const outcome = await this.writer.write({ key: request.key, version: 0, value: claim });
      if (outcome === "committed") return this.confirmInTime(request, claim);
      mayExist ||= outcome === "unknown";
      if (outcome !== "refused") {
        const known = await this.readBack(request, claim);
        if (known !== undefined) return known;
      }
      const remaining = request.deadline - clock.monotonic();
      await clock.sleep(Math.min(remaining, backoff(attempt)));
    }
    if (mayExist) this.remember(request.key, claim, { kind: "notRun" });
    return { kind: "unavailable" };
  }

  /// Records the verdict. Resolves to whether the store confirmed it; if not,
  /// `settleBacklog` tries again. Until then the row stays held, so no other
  /// entry VM can run the request.
  async settle(key: string, claim: Claim, verdict: Verdict): Promise<boolean> {
    if (await this.writeVerdict(key, claim, verdict)) return true;
    this.remember(key, claim, verdict);
    return false;
  }

  /// Tries once more to record the verdicts that the store did not confirm.
  async settleBacklog(): Promise<void> {
    for (const [key, { claim, verdict }] of [...this.unsettled]) {
      if (!(await this.writeVerdict(key, claim, verdict))) return;
      this.unsettled.delete(key);
    }
  }

  // A holder that was paused beyond the deadline must not run the request: its
  // caller has been told that the outcome is unknown, and may be acting on it.
  private confirmInTime(request: ClaimRequest, claim: Claim): ClaimOutcome {
    if (this.options.clock.monotonic() < request.deadline) return { kind: "granted", claim };
    this.remember(request.key, claim, { kind: "notRun" });
    return { kind: "unavailable" };
  }

  private async readBack(request: ClaimRequest, own: Claim): Promise<ClaimOutcome | undefined> {
    const rows = await this.options.table.read([request.key]);
    if (rows.isErr) return undefined;
    const row = rows.value[0];
    if (row === undefined) return undefined;
    const claim = row.value as Claim;
    if (claim.nonce === own.nonce) return this.confirmInTime(request, own);
    if (claim.requestDigest !== own.requestDigest) return { kind: "mismatch" };
    if (claim.state === ClaimState.Held) return { kind: "held", holder: claim.holder };
    return { kind: "settled", claim };
  }

  private async writeVerdict(key: string, claim: Claim, verdict: Verdict): Promise<boolean> {
    const rows = await this.options.table.read([key]);
    if (rows.isErr) return false;
    const row = rows.value[0];
    if (row !== undefined && !isOwn(row, claim)) return true;
    const outcome: WriteOutcome = await this.writer.write({
      key,
      version: row?.version ?? 0,
      value: settled(claim, verdict),
    });
    return outcome === "committed";
  }

  private remember(key: string, claim: Claim, verdict: Verdict): void {
    if (this.unsettled.size >= largestBacklog) return;
    this.unsettled.set(key, { claim, verdict });
  }
}

function isOwn(row: Row, claim: Claim): boolean {
  const stored = row.value as Claim;
  return stored.nonce === claim.nonce && stored.state === ClaimState.Held;
}

function backoff(attempt: number): Milliseconds {
  return Math.min(longestBackoff, shortestBackoff * 2 ** attempt);
}
