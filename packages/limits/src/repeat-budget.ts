//! The part of a budget of repeats that this entry VM may spend. All entry VMs together
//! may send a service, within any window, repeats up to a ratio of its requests and some
//! slack; each spends what its own requests earn and an even part of the slack.
import type { Milliseconds } from "@lovagebend/common";

export interface RepeatBudgetTerms {
  readonly ratio: number;
  readonly window: Milliseconds;
  readonly slack: number;
}

// The count of entry VMs may be out of date, and one that is restarted forgets what it
// spent: half of the slack is kept back.
const spentShareOfSlack = 0.5;

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
  spend(service: string, entryVms: number, now: Milliseconds): boolean {
    const since = now - this.terms.window;
    const spent = recent(this.spent, service, since);
    const earned = recent(this.earned, service, since).length;
    const slack = (this.terms.slack * spentShareOfSlack) / Math.max(1, entryVms);
    if (spent.length + 1 > earned * this.terms.ratio + slack) return false;
    spent.push(now);
    return true;
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
