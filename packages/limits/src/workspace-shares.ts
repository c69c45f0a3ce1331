//! Workspace shares across the entry VMs of a data centre, without a
//! coordinator: every entry VM works out the same division from the same facts.

/// What one workspace asked for lately at one entry VM, in tokens a second.
export interface Demand {
  readonly workspace: string;
  readonly entryVm: string;
  readonly tokensPerSecond: number;
}

/// Divides `capacity` among workspaces by weight; what a workspace does not ask
/// for is lent to those that ask for more. Returns what each workspace may use at
/// `self`: its allotment, split between entry VMs as its demand is. Workspaces
/// without a weight count as weight 1.
export function shareOut(
  self: string,
  demands: readonly Demand[],
  weights: ReadonlyMap<string, number>,
  capacity: number,
): ReadonlyMap<string, number> {
  const total = new Map<string, number>();
  const own = new Map<string, number>();
  for (const { workspace, entryVm, tokensPerSecond } of demands) {
    total.set(workspace, (total.get(workspace) ?? 0) + tokensPerSecond);
    if (entryVm === self) own.set(workspace, (own.get(workspace) ?? 0) + tokensPerSecond);
  }
  const allotments = fillByWeight(total, weights, capacity);
  return new Map(
    [...own].map(([workspace, demand]) => {
      const part = demand / (total.get(workspace) ?? demand);
      return [workspace, (allotments.get(workspace) ?? 0) * part];
    }),
  );
}

// Weighted max-min fairness: workspaces are served in the order in which their
// demand per weight is met, each round leaving the rest to the others.
function fillByWeight(
  demand: ReadonlyMap<string, number>,
  weights: ReadonlyMap<string, number>,
  capacity: number,
): Map<string, number> {
  const weightOf = (workspace: string): number => weights.get(workspace) ?? 1;
  const order = [...demand].sort(
    ([left, leftDemand], [right, rightDemand]) =>
      leftDemand / weightOf(left) - rightDemand / weightOf(right),
  );
  let remaining = capacity;
  let remainingWeight = order.reduce((sum, [workspace]) => sum + weightOf(workspace), 0);
  const allotments = new Map<string, number>();
  for (const [workspace, wanted] of order) {
    const fair = (remaining * weightOf(workspace)) / remainingWeight;
    const granted = Math.min(wanted, fair);
    allotments.set(workspace, granted);
    remaining -= granted;
    remainingWeight -= weightOf(workspace);
  }
  return allotments;
}
