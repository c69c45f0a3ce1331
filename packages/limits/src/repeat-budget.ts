//! The part of a budget of repeats that this entry VM may spend. All entry VMs together
//! may send a service, within any window, repeats up to a ratio of its requests and some
//! slack; each spends what its own requests earn and an even part of the slack.
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

export class RepeatBudget {
  private readonly earned = new Map<string, Milliseconds[]>();
  private readonly spent = new Map<string, Milliseconds[]>();

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
    const since = now - this.terms.window;
    const spent = recent(this.spent, service, since).length;
    const earned = recent(this.earned, service, since).length;
    const slack = (this.terms.slack * spentShareOfSlack) / Math.max(1, entryVms);
    const share = need === RepeatNeed.First ? shareForFirst : 1;
    return spent + 1 <= (earned * this.terms.ratio + slack) * share;
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
