//! The verdicts on parts of prompts. A verdict ends with a trial: one request with the part is
//! sent to a target. If the target crashes, a longer verdict of the next generation follows.
import type { Milliseconds } from "@lovagebend/common";

export enum VerdictState {
  Active = "active",
  /// An answer with the part has lived after all.
  Lifted = "lifted",
}

/// `at` is the monotonic time of the conviction or of the last failed trial.
export interface Verdict {
  readonly part: string;
  readonly generation: number;
  readonly state: VerdictState;
  readonly at: Milliseconds;
}

const firstDuration: Milliseconds = 300_000;
const durationFactor = 4;
const maximumDuration: Milliseconds = 86_400_000;
// After this time without a trial a verdict is forgotten.
const verdictLifetime: Milliseconds = 2 * maximumDuration;
const minimumRemainingLifetime: Milliseconds = 5_000;
const maximumVerdicts = 1_024;

export class Verdicts {
  private readonly verdicts = new Map<string, Verdict>();

  get(part: string): Verdict | undefined {
    return this.verdicts.get(part);
  }

  values(): Verdict[] {
    return [...this.verdicts.values()];
  }

  get activeParts(): ReadonlySet<string> {
    return new Set(
      this.values().flatMap(({ part, state }) => (state === VerdictState.Active ? [part] : [])),
    );
  }

  /// Adds an active verdict of the next generation.
  convict(part: string, now: Milliseconds): void {
    const generation = (this.verdicts.get(part)?.generation ?? 0) + 1;
    this.set({ part, generation, state: VerdictState.Active, at: now });
  }

  /// Lifts an active verdict; returns whether there was one.
  lift(part: string): boolean {
    const verdict = this.verdicts.get(part);
    if (verdict?.state !== VerdictState.Active) return false;
    this.set({ ...verdict, state: VerdictState.Lifted });
    return true;
  }

  /// Merges a verdict of a peer: the later generation wins, and within one generation the
  /// lifted state. Returns whether the generation or the state changed.
  merge(incoming: Verdict, now: Milliseconds): boolean {
    const known = this.verdicts.get(incoming.part);
    if (known === undefined && now - incoming.at > verdictLifetime - minimumRemainingLifetime)
      return false;
    if (known === undefined || incoming.generation > known.generation) {
      this.set(incoming);
      return true;
    }
    if (incoming.generation < known.generation) return false;
    const isLifted = known.state === VerdictState.Lifted || incoming.state === VerdictState.Lifted;
    const state = isLifted ? VerdictState.Lifted : VerdictState.Active;
    this.set({ ...known, state, at: Math.min(known.at, incoming.at) });
    return state !== known.state;
  }

  expire(now: Milliseconds): boolean {
    const sizeBefore = this.verdicts.size;
    for (const { part, at } of this.values())
      if (now - at > verdictLifetime) this.verdicts.delete(part);
    return this.verdicts.size < sizeBefore;
  }

  private set(verdict: Verdict): void {
    this.verdicts.set(verdict.part, verdict);
    while (this.verdicts.size > maximumVerdicts) {
      const oldest = this.values().reduce((left, right) => (right.at < left.at ? right : left));
      this.verdicts.delete(oldest.part);
    }
  }
}

/// The time at which the trial of a verdict is due.
export function getTrialTime({ at, generation }: Verdict): Milliseconds {
  return at + Math.min(maximumDuration, firstDuration * durationFactor ** (generation - 1));
}
