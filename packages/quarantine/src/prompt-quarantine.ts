//! The quarantine as one entry VM sees it. It combines the entry VM's own observations with the
//! copies of its peers, and decides whether a request may be sent to a target.
import type { Milliseconds } from "@lovagebend/common";
import {
  CrashRecords,
  largerChange,
  laterStatus,
  PartStatus,
  RecordChange,
} from "./crash-records.js";
import {
  digestRecord,
  digestSummary,
  digestVerdicts,
  exchangeSchema,
  findDifferences,
  type QuarantineExchange,
  type QuarantineState,
  type QuarantineSummary,
} from "./exchange.js";
import {
  findGuiltyPart,
  findPauseEnd,
  hasUnsettledCrash,
  isRefuted,
  type GuiltyPart,
} from "./guilty-part.js";
import { getTrialTime, Verdicts, VerdictState, type Verdict } from "./verdicts.js";

/// Whether a request may be sent to a target. A request that is not admitted may be sent again
/// after `retryAfter`. `paused` is a short wait for evidence, `quarantined` a verdict.
export type Admission =
  | { readonly kind: "admitted" }
  | { readonly kind: "paused"; readonly part: string; readonly retryAfter: Milliseconds }
  | { readonly kind: "quarantined"; readonly part: string; readonly retryAfter: Milliseconds };

/// A new verdict, with the number of crashes that the part explains.
export type Conviction = GuiltyPart;

// Bounds the memory of the parts whose answers have lived: two megabytes.
const maximumKnownParts = 20_000;
// After this time every entry VM has merged the evidence, and old records begin to expire.
const refutationTime: Milliseconds = 60_000;
// The time in which a trial request shows its outcome.
const trialDuration: Milliseconds = 10_000;

export class PromptQuarantine {
  private readonly records = new CrashRecords();
  private readonly verdicts = new Verdicts();
  /// The time of the last survival by part, least recent first.
  private readonly survivals = new Map<string, Milliseconds>();
  private readonly trialsStartedAt = new Map<string, Milliseconds>();
  private cachedSummary: QuarantineSummary | undefined;
  /// Whether the evidence may suffice for other verdicts than at the last examination.
  private isReviewDue = false;
  /// The verdicts that `review` has not returned yet.
  private readonly newConvictions: Conviction[] = [];
  /// Called when the state has changed in a way that peers should learn of at once.
  onChange: () => void = () => undefined;

  /// Records the crash of a target on which an answer to a prompt with `parts` was starting.
  /// `crash` identifies the crashed process.
  recordCrash(crash: string, parts: readonly string[], now: Milliseconds): void {
    for (const part of parts) {
      const verdict = this.verdicts.get(part);
      const hasTrialFailed = verdict?.state === VerdictState.Active && getTrialTime(verdict) <= now;
      if (!hasTrialFailed) continue;
      this.verdicts.convict(part, now);
      this.noteVerdictChange();
    }
    const recorded = parts.map(
      (part, position) => [part, { status: this.getStatus(part, now), position }] as const,
    );
    this.noteRecordChange(this.records.merge({ crash, at: now, parts: new Map(recorded) }, now));
  }

  /// Records that an answer to a prompt with `parts` has lived past its start on a target.
  recordSurvival(parts: readonly string[], now: Milliseconds): void {
    for (const part of parts) {
      this.survivals.delete(part);
      this.survivals.set(part, now);
      this.noteRecordChange(this.records.recordSurvival(part, now));
      if (this.verdicts.lift(part)) this.noteVerdictChange();
    }
    for (const part of this.survivals.keys()) {
      if (this.survivals.size <= maximumKnownParts) break;
      this.survivals.delete(part);
    }
  }

  /// Whether a request with `parts` may be sent. When the trial of a verdict is due, the entry
  /// VM for which `holdsTrial` returns true admits one request at a time.
  admit(
    parts: readonly string[],
    now: Milliseconds,
    holdsTrial: (part: string) => boolean,
  ): Admission {
    if (this.records.values().length === 0 && this.verdicts.values().length === 0)
      return { kind: "admitted" };
    // The evidence may have become complete since the last review.
    this.convictGuiltyParts(now);
    const trialParts: string[] = [];
    for (const part of parts) {
      const verdict = this.verdicts.get(part);
      if (verdict?.state !== VerdictState.Active) continue;
      const trialTime = getTrialTime(verdict);
      if (trialTime > now) return { kind: "quarantined", part, retryAfter: trialTime - now };
      const startedAt = this.trialsStartedAt.get(part) ?? -Infinity;
      if (now - startedAt < trialDuration || !holdsTrial(part))
        return { kind: "quarantined", part, retryAfter: trialDuration };
      trialParts.push(part);
    }
    const convicted = this.verdicts.activeParts;
    for (const part of parts) {
      const pauseEnd = findPauseEnd(this.records.values(), convicted, part, now);
      if (pauseEnd !== undefined) return { kind: "paused", part, retryAfter: pauseEnd - now };
    }
    for (const part of trialParts) this.trialsStartedAt.set(part, now);
    return { kind: "admitted" };
  }

  /// Removes what is out of date and convicts the parts that the records suffice for. Must be
  /// called several times a second. Returns the new verdicts.
  review(now: Milliseconds): readonly Conviction[] {
    const hasExpired = [this.records.expire(now), this.verdicts.expire(now)];
    if (hasExpired.includes(true)) this.cachedSummary = undefined;
    this.convictGuiltyParts(now);
    return this.newConvictions.splice(0);
  }

  /// All verdicts, including lifted ones.
  listVerdicts(): readonly Verdict[] {
    return this.verdicts.values();
  }

  /// The number of verdicts in force.
  get activeVerdictCount(): number {
    return this.verdicts.activeParts.size;
  }

  /// Merges a message of a peer and returns it; `undefined` if it is not valid.
  mergeExchange(message: unknown, now: Milliseconds): QuarantineExchange | undefined {
    const parsed = exchangeSchema.safeParse(message);
    if (parsed.data?.state !== undefined) this.merge(parsed.data.state, now);
    return parsed.data;
  }

  /// Merges crash records and verdicts of a peer, or those that were stored.
  merge({ records, verdicts }: QuarantineState, now: Milliseconds): void {
    let change = RecordChange.None;
    for (const { crash, age, parts } of records) {
      const at = now - age;
      const merged = parts.map(
        ([part, status, position]) =>
          [part, { status: laterStatus(status, this.getStatus(part, at)), position }] as const,
      );
      change = largerChange(change, this.records.merge({ crash, at, parts: new Map(merged) }, now));
    }
    this.noteRecordChange(change);
    let hasVerdictChanged = false;
    for (const { age, ...verdict } of verdicts)
      hasVerdictChanged =
        this.verdicts.merge({ ...verdict, at: now - age }, now) || hasVerdictChanged;
    if (hasVerdictChanged) this.noteVerdictChange();
  }

  /// All crash records and verdicts.
  getState(now: Milliseconds): QuarantineState {
    return this.describe(Object.keys(this.summary.records), "", now);
  }

  /// The message for a peer whose last message is `other`; `undefined` opens an exchange.
  composeExchange(other: QuarantineExchange | undefined, now: Milliseconds): QuarantineExchange {
    const { digest } = this;
    if (other === undefined || other.digest === digest) return { digest };
    if (other.requested !== undefined)
      return { digest, state: this.findRequested(other.requested, other.state, now) };
    if (other.summary === undefined) return { digest, summary: this.summary };
    const requested = findDifferences(this.summary, other.summary);
    const lacking = Object.keys(requested.records);
    return { digest, requested, state: this.describe(lacking, other.summary.verdicts, now) };
  }

  /// Equal for entry VMs with equal state, regardless of ages.
  get digest(): string {
    return digestSummary(this.summary);
  }

  private get summary(): QuarantineSummary {
    this.cachedSummary ??= {
      verdicts: digestVerdicts(this.verdicts.values()),
      records: Object.fromEntries(
        this.records.values().map((record) => [record.crash, digestRecord(record)]),
      ),
    };
    return this.cachedSummary;
  }

  // What a peer lacks of the records that it requested, and that it has not just sent itself.
  private findRequested(
    { verdicts, records }: QuarantineSummary,
    sent: QuarantineState | undefined,
    now: Milliseconds,
  ): QuarantineState {
    const sentParts = new Map(
      sent?.records.map(({ crash, parts }) => [crash, new Set(parts.map(String))]),
    );
    const own = this.describe(Object.keys(records), verdicts, now);
    const lacking = own.records.map(({ parts, ...record }) => ({
      ...record,
      parts: parts.filter((part) => !sentParts.get(record.crash)?.has(String(part))),
    }));
    return { verdicts: own.verdicts, records: lacking.filter(({ parts }) => parts.length > 0) };
  }

  // The records on `crashes`, and the verdicts if their digest is not `knownVerdicts`.
  private describe(
    crashes: readonly string[],
    knownVerdicts: string,
    now: Milliseconds,
  ): QuarantineState {
    const described = new Set(crashes);
    const getAge = (at: Milliseconds): Milliseconds => Math.max(0, Math.round(now - at));
    return {
      records: this.records
        .values()
        .filter(({ crash }) => described.has(crash))
        .map(({ crash, at, parts }) => ({
          crash,
          age: getAge(at),
          parts: [...parts].map(([part, { status, position }]) => [part, status, position]),
        })),
      verdicts:
        this.summary.verdicts === knownVerdicts
          ? []
          : this.verdicts.values().map(({ at, ...verdict }) => ({ ...verdict, age: getAge(at) })),
    };
  }

  // The status of a part with respect to a crash at `crashTime`, from this entry VM's own
  // observations.
  private getStatus(part: string, crashTime: Milliseconds): PartStatus {
    const survivedAt = this.survivals.get(part);
    if (survivedAt === undefined) return PartStatus.Suspected;
    return survivedAt > crashTime ? PartStatus.LivedSince : PartStatus.LivedBefore;
  }

  private convictGuiltyParts(now: Milliseconds): void {
    if (!this.isReviewDue) return;
    this.liftRefutedVerdicts(now);
    this.isReviewDue = hasUnsettledCrash(this.records.values(), now);
    for (;;) {
      const guilty = findGuiltyPart(this.records.values(), this.verdicts.activeParts, now);
      if (guilty === undefined) return;
      this.verdicts.convict(guilty.part, now);
      this.newConvictions.push(guilty);
      this.noteVerdictChange();
    }
  }

  private liftRefutedVerdicts(now: Milliseconds): void {
    const records = this.records.values();
    for (const { part, state, at } of this.verdicts.values()) {
      if (state !== VerdictState.Active || now - at > refutationTime) continue;
      if (isRefuted(records, part) && this.verdicts.lift(part)) this.noteVerdictChange();
    }
  }

  private noteRecordChange(change: RecordChange): void {
    if (change === RecordChange.None) return;
    this.cachedSummary = undefined;
    this.isReviewDue = true;
    if (change > RecordChange.Survival) this.onChange();
  }

  private noteVerdictChange(): void {
    this.cachedSummary = undefined;
    this.isReviewDue = true;
    this.onChange();
  }
}
