//! The demand that one entry VM goes on admitting although single offers are refused: its few
//! refusals say that all entry VMs together offer too much, and not that its own urgent requests
//! are too many. The reservation reaches from the most urgent requests down to all but the
//! workspaces of the least urgent priority that exceed their share. An overload that persists lowers
//! it by a step, and calm raises it again.
import type { Milliseconds } from "@lovagebend/common";
import type { PriorityDemand, PriorityShare } from "./priority-shares.js";

// An even step reserves whole priorities; an odd one also the workspaces of the next priority that
// ask for less than their share.
const stepsPerPriority = 2;
// The limit that was lowered before takes effect at targets within this time.
const lowerInterval: Milliseconds = 500;
const raiseInterval: Milliseconds = 500;
// Chance moves the demand that is measured over some seconds by a fifth.
const reserveFactor = 1.1;

export class Reservation {
  private steps = 0;
  private changedAt: Milliseconds = -Infinity;

  /// Reserves as much as possible for `priorities`.
  begin(priorities: number, now: Milliseconds): void {
    this.steps = findMaximum(priorities);
    this.changedAt = now;
  }

  lower(now: Milliseconds): void {
    if (now - this.changedAt < lowerInterval) return;
    this.steps = Math.max(0, this.steps - 1);
    this.changedAt = now;
  }

  raise(priorities: number, now: Milliseconds): void {
    if (now - this.changedAt < raiseInterval) return;
    this.steps = Math.min(findMaximum(priorities), this.steps + 1);
    this.changedAt = now;
  }

  /// The requests a second that are reserved, of `demands` in the order of their urgency, with what
  /// is guaranteed to the others.
  find(demands: readonly PriorityDemand[], shares: ReadonlyMap<number, PriorityShare>): number {
    const whole = Math.floor(this.steps / stepsPerPriority);
    const reservesBelowShare = this.steps % stepsPerPriority === 1;
    let reserved = 0;
    let guaranteed = 0;
    for (const [index, { priority, workspaces }] of demands.entries()) {
      const share = shares.get(priority);
      if (index < whole) reserved += sum(workspaces.values());
      else if (index === whole && reservesBelowShare)
        reserved += findBelowShare([...workspaces.values()], share?.workspaceShare ?? 0);
      else guaranteed += share?.guaranteed ?? 0;
    }
    return reserved * reserveFactor + guaranteed;
  }
}

// What all workspaces may use so that none of those below `share` is limited: each has the rate of
// the largest of them.
function findBelowShare(demands: readonly number[], share: number): number {
  const largest = Math.max(0, ...demands.filter((demand) => demand < share));
  return sum(demands.map((demand) => Math.min(demand, largest)));
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

function findMaximum(priorities: number): number {
  return Math.max(0, stepsPerPriority * priorities - 1);
}
