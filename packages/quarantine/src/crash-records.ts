//! The crashes of targets that entry VMs have observed, with the shared parts of the prompts
//! of the answers that were starting on each target when it crashed.
import type { Milliseconds } from "@lovagebend/common";

/// What is known of a part with respect to one crash. Copies of a record are merged by the
/// maximum.
export enum PartStatus {
  /// No answer with the part is known to have lived.
  Suspected = 0,
  /// An answer with the part lived before the crash.
  LivedBefore = 1,
  /// An answer with the part has lived since the crash.
  LivedSince = 2,
}

/// `position` is the last position of the part in a prompt: a later part is shared by fewer
/// requests.
export interface RecordedPart {
  readonly status: PartStatus;
  readonly position: number;
}

/// `crash` identifies the crashed process of a target, so that the reports of several entry
/// VMs are counted once. `at` is the monotonic time of the crash.
export interface CrashRecord {
  readonly crash: string;
  readonly at: Milliseconds;
  readonly parts: ReadonlyMap<string, RecordedPart>;
}

// A part that crashes targets more seldom than this on average is not detected.
const recordLifetime: Milliseconds = 600_000;
// A record is not accepted from a peer shortly before its end. Otherwise peers whose copies
// differ in age by the transit time could revive it for each other.
const minimumRemainingLifetime: Milliseconds = 5_000;
const maximumRecords = 64;
const maximumPartsPerRecord = 128;

/// How far a change of the records matters to other entry VMs. `Contrast` is a survival of a part
/// with several crashes, which may keep it from being convicted.
export enum RecordChange {
  None = 0,
  Survival = 1,
  Contrast = 2,
  Crash = 3,
}

/// Merges what two entry VMs know of a part.
export function laterStatus(left: PartStatus, right: PartStatus): PartStatus {
  return left < right ? right : left;
}

export function largerChange(left: RecordChange, right: RecordChange): RecordChange {
  return left < right ? right : left;
}

export class CrashRecords {
  private readonly records = new Map<string, CrashRecord>();

  /// Merges a record and returns the change.
  merge(incoming: CrashRecord, now: Milliseconds): RecordChange {
    const existing = this.records.get(incoming.crash);
    if (existing === undefined && now - incoming.at > recordLifetime - minimumRemainingLifetime)
      return RecordChange.None;
    const parts = new Map(existing?.parts ?? []);
    const raised: string[] = [];
    let hasNewPart = existing === undefined;
    for (const [part, { status, position }] of incoming.parts) {
      const known = parts.get(part);
      if (known === undefined && parts.size >= maximumPartsPerRecord) continue;
      const merged = {
        status: laterStatus(status, known?.status ?? PartStatus.Suspected),
        position: Math.max(position, known?.position ?? 0),
      };
      if (merged.status === known?.status && merged.position === known.position) continue;
      parts.set(part, merged);
      if (known === undefined) hasNewPart = true;
      else raised.push(part);
    }
    const at = Math.min(incoming.at, existing?.at ?? Infinity);
    if (hasNewPart || raised.length > 0 || at !== existing?.at)
      this.records.set(incoming.crash, { crash: incoming.crash, at, parts });
    this.evictOldest();
    if (hasNewPart) return RecordChange.Crash;
    if (raised.some((part) => this.hasSeveralCrashes(part))) return RecordChange.Contrast;
    return raised.length > 0 ? RecordChange.Survival : RecordChange.None;
  }

  /// Records that an answer with `part` has lived at `now`, and returns the change.
  recordSurvival(part: string, now: Milliseconds): RecordChange {
    let change = RecordChange.None;
    for (const record of this.values()) {
      const known = record.parts.get(part);
      if (known === undefined || known.status === PartStatus.LivedSince || record.at > now)
        continue;
      const raised = new Map([[part, { ...known, status: PartStatus.LivedSince }]]);
      change = largerChange(change, this.merge({ ...record, parts: raised }, now));
    }
    return change;
  }

  /// Removes the records whose lifetime is over; returns whether there were any.
  expire(now: Milliseconds): boolean {
    const sizeBefore = this.records.size;
    for (const { crash, at } of this.values())
      if (now - at > recordLifetime) this.records.delete(crash);
    return this.records.size < sizeBefore;
  }

  values(): CrashRecord[] {
    return [...this.records.values()];
  }

  private hasSeveralCrashes(part: string): boolean {
    return this.values().filter(({ parts }) => parts.has(part)).length > 1;
  }

  private evictOldest(): void {
    while (this.records.size > maximumRecords) {
      const oldest = this.values().reduce((left, right) => (right.at < left.at ? right : left));
      this.records.delete(oldest.crash);
    }
  }
}
