//! The quarantine as one entry VM sees it. It combines the entry VM's own observations with the
//! copies of its peers, and decides whether a request may be sent to a target.
import type { Milliseconds } from "@lovagebend/common";
import { createHash } from "node:crypto";
import * as z from "zod";
import { CrashRecords, laterStatus, PartStatus, type CrashRecord } from "./crash-records.js";
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

const recordSchema = z.object({
  crash: z.string().max(200),
  age: z.number().min(0),
  parts: z
    .array(z.tuple([z.string().max(64), z.enum(PartStatus), z.number().int().min(0)]))
    .max(128),
});
const verdictSchema = z.object({
  part: z.string().max(64),
  generation: z.number().int().positive(),
  state: z.enum(VerdictState),
  age: z.number().min(0),
});
const messageSchema = z.object({
  records: z.array(recordSchema).max(64),
  verdicts: z.array(verdictSchema).max(1_024),
});

/// The state as it is sent to a peer or stored. Ages in milliseconds are relative to the
/// sending, because the clocks of different VMs are never compared.
export type QuarantineMessage = z.output<typeof messageSchema>;

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
  private cachedDigest: string | undefined;
  /// Whether a review may have another outcome than the last one.
  private isReviewDue = false;
  /// Called when the state has changed, so that peers should receive it.
  onChange: () => void = () => undefined;

  /// Records the crash of a target on which an answer to a prompt with `parts` was starting.
  /// `crash` identifies the crashed process.
  recordCrash(crash: string, parts: readonly string[], now: Milliseconds): void {
    for (const part of parts) {
      const verdict = this.verdicts.get(part);
      const hasTrialFailed = verdict?.state === VerdictState.Active && getTrialTime(verdict) <= now;
      if (hasTrialFailed) this.verdicts.convict(part, now);
      if (hasTrialFailed) this.noteChange();
    }
    const recorded = parts.map(
      (part, position) => [part, { status: this.getStatus(part, now), position }] as const,
    );
    if (this.records.merge({ crash, at: now, parts: new Map(recorded) }, now)) this.noteChange();
  }

  /// Records that an answer to a prompt with `parts` has lived past its start on a target.
  recordSurvival(parts: readonly string[], now: Milliseconds): void {
    for (const part of parts) {
      this.survivals.delete(part);
      this.survivals.set(part, now);
      const hasRaised = this.records.recordSurvival(part, now);
      if (this.verdicts.lift(part) || hasRaised) this.noteChange();
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
    const convictions: Conviction[] = [];
    const hasExpired = [this.records.expire(now), this.verdicts.expire(now)];
    if (hasExpired.includes(true)) this.cachedDigest = undefined;
    if (!this.isReviewDue) return [];
    this.liftRefutedVerdicts(now);
    this.isReviewDue = hasUnsettledCrash(this.records.values(), now);
    for (;;) {
      const guilty = findGuiltyPart(this.records.values(), this.verdicts.activeParts, now);
      if (guilty === undefined) return convictions;
      this.verdicts.convict(guilty.part, now);
      convictions.push(guilty);
      this.noteChange();
    }
  }

  /// All verdicts, including lifted ones.
  listVerdicts(): readonly Verdict[] {
    return this.verdicts.values();
  }

  /// The number of verdicts in force.
  get activeVerdictCount(): number {
    return this.verdicts.activeParts.size;
  }

  /// Merges the state of a peer, or one that was stored. Returns whether anything changed;
  /// `undefined` if the message is not valid.
  merge(message: unknown, now: Milliseconds): boolean | undefined {
    const parsed = messageSchema.safeParse(message);
    if (!parsed.success) return undefined;
    let hasChanged = false;
    for (const { crash, age, parts } of parsed.data.records) {
      const at = now - age;
      const merged = parts.map(
        ([part, status, position]) =>
          [part, { status: laterStatus(status, this.getStatus(part, at)), position }] as const,
      );
      hasChanged = this.records.merge({ crash, at, parts: new Map(merged) }, now) || hasChanged;
    }
    for (const { age, ...verdict } of parsed.data.verdicts)
      hasChanged = this.verdicts.merge({ ...verdict, at: now - age }, now) || hasChanged;
    if (hasChanged) this.noteChange();
    return hasChanged;
  }

  toMessage(now: Milliseconds): QuarantineMessage {
    return {
      records: this.records.values().map(({ crash, at, parts }) => ({
        crash,
        age: Math.max(0, Math.round(now - at)),
        parts: [...parts].map(([part, { status, position }]) => [part, status, position]),
      })),
      verdicts: this.verdicts.values().map(({ at, ...verdict }) => ({
        ...verdict,
        age: Math.max(0, Math.round(now - at)),
      })),
    };
  }

  /// Equal for entry VMs with equal state, regardless of ages.
  get digest(): string {
    this.cachedDigest ??= createHash("sha1")
      .update(JSON.stringify([describeRecords(this.records.values()), this.describeVerdicts()]))
      .digest("base64");
    return this.cachedDigest;
  }

  private describeVerdicts(): string[] {
    return this.verdicts
      .values()
      .map(({ part, generation, state }) => `${part} ${generation} ${state}`)
      .sort();
  }

  // The status of a part with respect to a crash at `crashTime`, from this entry VM's own
  // observations.
  private getStatus(part: string, crashTime: Milliseconds): PartStatus {
    const survivedAt = this.survivals.get(part);
    if (survivedAt === undefined) return PartStatus.Suspected;
    return survivedAt > crashTime ? PartStatus.LivedSince : PartStatus.LivedBefore;
  }

  private liftRefutedVerdicts(now: Milliseconds): void {
    const records = this.records.values();
    for (const { part, state, at } of this.verdicts.values()) {
      if (state !== VerdictState.Active || now - at > refutationTime) continue;
      if (isRefuted(records, part) && this.verdicts.lift(part)) this.noteChange();
    }
  }

  private noteChange(): void {
    this.cachedDigest = undefined;
    this.isReviewDue = true;
    this.onChange();
  }
}

function describeRecords(records: readonly CrashRecord[]): string[] {
  return records
    .map(({ crash, parts }) => {
      const described = [...parts].map(
        ([part, { status, position }]) => `${part} ${status} ${position}`,
      );
      return `${crash} ${described.sort().join(",")}`;
    })
    .sort();
}
