//! What is known of the entries of targets across restores of the store. A store that comes
//! back from a copy lists targets as they were some seconds before.
import { ListedState, type ListedTarget } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";

/// `list`: the entry holds; `target` is what is to be listed. `hold`: the entry may be that of
/// a process that has ended. It must be judged again when it changes, or at `until`.
export type EntryDecision =
  | { readonly kind: "list"; readonly target: ListedTarget }
  | { readonly kind: "hold"; readonly until: Milliseconds };

interface KnownEntry {
  readonly born: number;
  /// The era of the store of the latest entry.
  readonly era: number;
  /// The era in which this process of the target was seen leaving.
  readonly leavingSince: number | undefined;
  readonly removedAt: Milliseconds | undefined;
}

/// The time within which the entry of a target that no longer exists is removed from the list.
export const maximumEntryLifetime: Milliseconds = 4_000;
// Several times as long as what a copy may lack.
const removalMemory: Milliseconds = 60_000;

export class EntryHistory {
  private readonly known = new Map<string, KnownEntry>();

  /// Decides about a new or changed entry in an era of the store. Within one era the newest
  /// entry holds. The first one of a later era may come from the copy: it neither brings back
  /// an earlier process of the target or a removed one, nor ends the leaving of a process.
  judge(entry: ListedTarget, era: number, now: Milliseconds): EntryDecision {
    const before = this.known.get(entry.name);
    const leavingBefore = before?.born === entry.born ? before.leavingSince : undefined;
    const isLeaving = leavingBefore !== undefined && leavingBefore < era;
    const target = isLeaving ? { ...entry, state: ListedState.Leaving } : entry;
    const isFirstOfEra = before !== undefined && before.era < era;
    const mayHaveEnded =
      isFirstOfEra &&
      (entry.born < before.born || (entry.born === before.born && before.removedAt !== undefined));
    if (mayHaveEnded) {
      this.known.set(entry.name, { ...before, era });
      return { kind: "hold", until: now + maximumEntryLifetime };
    }
    const leavingSince = target.state === ListedState.Leaving ? (leavingBefore ?? era) : undefined;
    this.known.set(entry.name, { born: entry.born, era, leavingSince, removedAt: undefined });
    return { kind: "list", target };
  }

  recordRemoval(name: string, now: Milliseconds): void {
    const before = this.known.get(name);
    if (before !== undefined) this.known.set(name, { ...before, removedAt: now });
    for (const [other, { removedAt }] of this.known)
      if (removedAt !== undefined && now - removedAt > removalMemory) this.known.delete(other);
  }
}
