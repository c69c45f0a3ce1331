//! Divides what targets accept among priorities and the workspaces of each. Priorities come first,
//! but none is left with less than a quarter of the rate that equal shares would give it.
import { allocateCapacity } from "./workspace-shares.js";

/// The demand of one priority, by workspace, in requests a second.
export interface PriorityDemand {
  readonly priority: number;
  readonly workspaces: ReadonlyMap<string, number>;
}

/// What a priority may use: `available` if more urgent requests take what they ask for, and
/// `guaranteed` in any case. No workspace is limited that asks for less than `workspaceShare`.
export interface PriorityShare {
  readonly available: number;
  readonly guaranteed: number;
  readonly workspaceShare: number;
}

// A quarter, and what targets refuse of it in an overload.
const guaranteedPart = 0.3;

const usualFactor = 2;
// In requests a second: a workspace of which two requests come within the time in which demands are
// measured is not larger than others.
const minimumUsualDemand = 0.67;

/// Returns the share of each priority of `demands`, the most urgent first.
export function sharePriorities(
  demands: readonly PriorityDemand[],
  capacity: number,
): ReadonlyMap<number, PriorityShare> {
  const ordered = [...demands].sort((left, right) => left.priority - right.priority);
  const totals = new Map(
    ordered.map(({ priority, workspaces }) => [String(priority), sum(workspaces.values())]),
  );
  const equal = allocate(totals, capacity);
  const guaranteeOf = (priority: number): number =>
    guaranteedPart * (equal.get(String(priority)) ?? 0);
  const shares = new Map<number, PriorityShare>();
  let unclaimed = capacity;
  for (const [index, { priority, workspaces }] of ordered.entries()) {
    const guaranteed = guaranteeOf(priority);
    const keptForOthers = ordered
      .slice(index + 1)
      .reduce((kept, later) => kept + guaranteeOf(later.priority), 0);
    const available = Math.max(guaranteed, unclaimed - keptForOthers);
    unclaimed = Math.max(0, unclaimed - Math.min(totals.get(String(priority)) ?? 0, available));
    shares.set(priority, {
      available,
      guaranteed,
      workspaceShare: Math.max(
        findWorkspaceShare(workspaces, available),
        ordered.length === 1 ? findUsualDemand(workspaces) : 0,
      ),
    });
  }
  return shares;
}

// The largest allocation, or no bound if all get what they ask for.
function findWorkspaceShare(demand: ReadonlyMap<string, number>, capacity: number): number {
  if (sum(demand.values()) <= capacity) return Infinity;
  return Math.max(...allocate(demand, capacity).values());
}

// Twice what the middle one of the workspaces asks for, without the largest. Where all have the same priority and none
// exceeds this, there is nobody to prefer to others, and engines choose as well.
function findUsualDemand(demand: ReadonlyMap<string, number>): number {
  const rates = [...demand.values()].sort((left, right) => left - right);
  const others = rates.slice(0, -1);
  const middle = others[Math.floor(others.length / 2)] ?? 0;
  return Math.max(minimumUsualDemand, usualFactor * middle);
}

// Max-min fair.
function allocate(
  demand: ReadonlyMap<string, number>,
  capacity: number,
): ReadonlyMap<string, number> {
  const demands = [...demand].map(([workspace, tokensPerSecond]) => ({
    workspace,
    entryVm: "",
    tokensPerSecond,
  }));
  return allocateCapacity("", demands, new Map(), capacity);
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
