//! Acquires claims for one entry VM and records their verdicts in the table service.
//! Concurrent writes share transactions. Verdicts that the table service has not confirmed
//! are kept in memory and written again later.
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { Row, TableService } from "@lovagebend/platform";
import { ClaimState, applyVerdict, type Claim, type Verdict } from "./claim.js";
import { GroupWriter, type WriteOutcome } from "./group-writer.js";

/// A request for a claim. `requestDigest` identifies the content of the request to run, so
/// that the reuse of a key for another request is detected. `deadline` is a point in
/// monotonic time.
export interface ClaimRequest {
  readonly key: string;
  readonly requestDigest: string;
  readonly deadline: Milliseconds;
}

/// `granted`: only this caller may run the request, and only once. `settled`: a verdict is
/// recorded under the key. `held`: another holder may be running the request. `mismatch`:
/// the key belongs to another request. `unavailable`: no claim was granted before the
/// deadline, and whether the key is free is unknown. If this claim may have been stored,
/// `retryUnrecordedVerdicts` closes the key later, so that it does not stay held while no
/// request runs.
export type ClaimOutcome =
  | { readonly kind: "granted"; readonly claim: Claim }
  | { readonly kind: "settled"; readonly claim: Claim }
  | { readonly kind: "held"; readonly holder: string }
  | { readonly kind: "mismatch" }
  | { readonly kind: "unavailable" };

export interface ClaimStoreOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly holder: string;
  readonly createNonce: () => string;
}

const minimumBackoff: Milliseconds = 50;
const maximumBackoff: Milliseconds = 2_000;
const maximumUnrecordedVerdicts = 10_000;

/// The claims that one entry VM acquires, and the verdicts it still has to record.
export class ClaimStore {
  private readonly writer: GroupWriter;
  private readonly unrecordedVerdicts = new Map<string, { claim: Claim; verdict: Verdict }>();

  constructor(private readonly options: ClaimStoreOptions) {
    this.writer = new GroupWriter(options.table);
  }

  /// The number of verdicts that the store has not confirmed yet.
  get unrecordedVerdictCount(): number {
    return this.unrecordedVerdicts.size;
  }

  /// Claims a request. Retries with exponential backoff until the deadline while the store
  /// refuses writes or does not respond.
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const { clock, holder, createNonce } = this.options;
    const claim: Claim = {
      state: ClaimState.Held,
      holder,
      nonce: createNonce(),
      requestDigest: request.requestDigest,
      answer: null,
    };
    let hasUnknownWrite = false;
    for (let attempt = 0; clock.monotonicTime() < request.deadline; attempt += 1) {
      const writeOutcome = await this.writer.write({ key: request.key, version: 0, value: claim });
      if (writeOutcome === "committed") return this.grantBeforeDeadline(request, claim);
      hasUnknownWrite ||= writeOutcome === "unknown";
      if (writeOutcome !== "refused") {
        const claimOutcome = await this.readBack(request, claim);
        if (claimOutcome !== undefined) return claimOutcome;
      }
      const remaining = request.deadline - clock.monotonicTime();
      await clock.sleep(Math.min(remaining, computeBackoff(attempt)));
    }
    if (hasUnknownWrite) this.addUnrecordedVerdict(request.key, claim, { kind: "notRun" });
    return { kind: "unavailable" };
  }

  /// Records the verdict. Resolves to whether the store confirmed it; if not,
  /// `retryUnrecordedVerdicts` retries the write. Until then the row stays held, so that no
  /// other entry VM can run the request.
  async recordVerdict(key: string, claim: Claim, verdict: Verdict): Promise<boolean> {
    if (await this.writeVerdict(key, claim, verdict)) return true;
    this.addUnrecordedVerdict(key, claim, verdict);
    return false;
  }

  /// Writes the unconfirmed verdicts once more, up to the first write that fails.
  async retryUnrecordedVerdicts(): Promise<void> {
    for (const [key, { claim, verdict }] of [...this.unrecordedVerdicts]) {
      if (!(await this.writeVerdict(key, claim, verdict))) return;
      this.unrecordedVerdicts.delete(key);
    }
  }

  // A holder whose process was paused until after the deadline must not run the request: for
  // its caller the outcome is unknown by then, and the caller may have acted on that.
  private grantBeforeDeadline(request: ClaimRequest, claim: Claim): ClaimOutcome {
    if (this.options.clock.monotonicTime() < request.deadline) return { kind: "granted", claim };
    this.addUnrecordedVerdict(request.key, claim, { kind: "notRun" });
    return { kind: "unavailable" };
  }

  private async readBack(
    request: ClaimRequest,
    ownClaim: Claim,
  ): Promise<ClaimOutcome | undefined> {
    const rows = await this.options.table.read([request.key]);
    if (rows.isErr) return undefined;
    const row = rows.value[0];
    if (row === undefined) return undefined;
    const claim = row.value as Claim;
    if (claim.nonce === ownClaim.nonce) return this.grantBeforeDeadline(request, ownClaim);
    if (claim.requestDigest !== ownClaim.requestDigest) return { kind: "mismatch" };
    if (claim.state === ClaimState.Held) return { kind: "held", holder: claim.holder };
    return { kind: "settled", claim };
  }

  // Resolves to true also if the row no longer holds this claim: nothing is left to record.
  private async writeVerdict(key: string, claim: Claim, verdict: Verdict): Promise<boolean> {
    const rows = await this.options.table.read([key]);
    if (rows.isErr) return false;
    const row = rows.value[0];
    if (row !== undefined && !isOwnHeldClaim(row, claim)) return true;
    const outcome: WriteOutcome = await this.writer.write({
      key,
      version: row?.version ?? 0,
      value: applyVerdict(claim, verdict),
    });
    return outcome === "committed";
  }

  private addUnrecordedVerdict(key: string, claim: Claim, verdict: Verdict): void {
    if (this.unrecordedVerdicts.size >= maximumUnrecordedVerdicts) return;
    this.unrecordedVerdicts.set(key, { claim, verdict });
  }
}

function isOwnHeldClaim(row: Row, claim: Claim): boolean {
  const stored = row.value as Claim;
  return stored.nonce === claim.nonce && stored.state === ClaimState.Held;
}

function computeBackoff(attempt: number): Milliseconds {
  return Math.min(maximumBackoff, minimumBackoff * 2 ** attempt);
}
