//! The part of a budget of repeats that this entry VM may spend. All entry VMs together
//! may send a service, within any window, repeats up to a ratio of its requests and some
//! slack; each spends what its own requests earn and an even part of the slack. One that
//! runs short borrows of another's part.
import type { Milliseconds } from "@lovagebend/common";

export interface RepeatBudgetTerms {
  readonly ratio: number;
  readonly window: Milliseconds;
  readonly slack: number;
}

/// What a repeat is for: an answer that has not begun, or one that the caller is already
/// reading and that would break off.
export enum RepeatNeed {
  First = "first",
  Resume = "resume",
}

// An entry VM that is restarted forgets what it spent, and its count of the others may be
// out of date: some of the slack is kept back.
const spentShareOfSlack = 0.75;
// The part of the budget that is open to answers that have not begun.
const shareForFirst = 0.7;

// One that lends keeps half of what it has left.
const lendableShare = 0.5;
// Below this many repeats an entry VM borrows, or below this share of its part where that
// is less: with many entry VMs a whole part is a few repeats.
const lowWater = 4;
const lowWaterShare = 0.25;

interface Loan {
  readonly at: Milliseconds;
  /// Negative for what was lent.
  readonly repeats: number;
}

export class RepeatBudget {
  private readonly earned = new Map<string, Milliseconds[]>();
  private readonly spent = new Map<string, Milliseconds[]>();
  private readonly loans = new Map<string, Loan[]>();

  constructor(private readonly terms: RepeatBudgetTerms) {}

  /// Counts a request for `service`.
  earn(service: string, now: Milliseconds): void {
    recent(this.earned, service, now - this.terms.window).push(now);
  }

  /// Whether a repeat may be sent to `service`; if so, it is counted. `entryVms` is how
  /// many share the slack.
  spend(service: string, entryVms: number, now: Milliseconds, need: RepeatNeed): boolean {
    if (!this.has(service, entryVms, now, need)) return false;
    recent(this.spent, service, now - this.terms.window).push(now);
    return true;
  }

  /// Whether `spend` would allow a repeat now.
  has(service: string, entryVms: number, now: Milliseconds, need: RepeatNeed): boolean {
    const { spent, part } = this.account(service, entryVms, now);
    return spent + 1 <= part * (need === RepeatNeed.First ? shareForFirst : 1);
  }

  /// The services whose repeats are running out, so that some should be borrowed.
  runningShort(entryVms: number, now: Milliseconds): string[] {
    return [...this.spent.keys()].filter((service) => {
      const { spent, part } = this.account(service, entryVms, now);
      return spent > 0 && part * shareForFirst - spent < Math.min(lowWater, part * lowWaterShare);
    });
  }

  /// Gives up to another entry VM some of what is left, for one window. Returns how many
  /// repeats the other may spend.
  lend(service: string, entryVms: number, now: Milliseconds): number {
    const { spent, part } = this.account(service, entryVms, now);
    const repeats = Math.floor((part - spent) * lendableShare);
    if (repeats <= 0) return 0;
    this.note(service, { at: now, repeats: -repeats });
    return repeats;
  }

  /// Takes in what another lent. `asked` is when it was asked for: the loan ends for this
  /// side first.
  borrow(service: string, repeats: number, asked: Milliseconds): void {
    if (repeats > 0) this.note(service, { at: asked, repeats });
  }

  private account(
    service: string,
    entryVms: number,
    now: Milliseconds,
  ): { readonly spent: number; readonly part: number } {
    const since = now - this.terms.window;
    const earned = recent(this.earned, service, since).length;
    const slack = (this.terms.slack * spentShareOfSlack) / Math.max(1, entryVms);
    const lent = (this.loans.get(service) ?? [])
      .filter(({ at }) => at >= since)
      .reduce((sum, { repeats }) => sum + repeats, 0);
    return {
      spent: recent(this.spent, service, since).length,
      part: earned * this.terms.ratio + slack + lent,
    };
  }

  private note(service: string, loan: Loan): void {
    const since = loan.at - this.terms.window;
    const kept = (this.loans.get(service) ?? []).filter(({ at }) => at >= since);
    this.loans.set(service, [...kept, loan]);
  }
}

function recent(
  times: Map<string, Milliseconds[]>,
  service: string,
  since: Milliseconds,
): Milliseconds[] {
  const held = times.get(service) ?? [];
  times.set(service, held);
  const first = held.findIndex((time) => time >= since);
  held.splice(0, first === -1 ? held.length : first);
  return held;
}
