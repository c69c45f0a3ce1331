//! Fair shares of capacity for workspaces across the entry VMs of a data centre. No
//! coordinator is needed: every entry VM computes the same allocation from the same demands.

/// The recent demand of one workspace at one entry VM.
export interface WorkspaceDemand {
  readonly workspace: string;
  readonly entryVm: string;
  readonly tokensPerSecond: number;
}

/// Divides `capacity`, in the unit of the demands, among workspaces by weight. Capacity that a
/// workspace does not request is available to those that request more. Returns the capacity
/// of each workspace at the entry VM `self`: its allocation, divided between entry VMs in
/// proportion to its demand. Workspaces without a weight have weight 1.
export function allocateCapacity(
  self: string,
  demands: readonly WorkspaceDemand[],
  weights: ReadonlyMap<string, number>,
  capacity: number,
): ReadonlyMap<string, number> {
  const totalDemand = new Map<string, number>();
  const localDemand = new Map<string, number>();
  for (const { workspace, entryVm, tokensPerSecond } of demands) {
    totalDemand.set(workspace, (totalDemand.get(workspace) ?? 0) + tokensPerSecond);
    if (entryVm === self)
      localDemand.set(workspace, (localDemand.get(workspace) ?? 0) + tokensPerSecond);
  }
  const allocations = allocateByWeight(totalDemand, weights, capacity);
  return new Map(
    [...localDemand].map(([workspace, demand]) => {
      const localShare = demand / (totalDemand.get(workspace) ?? demand);
      return [workspace, (allocations.get(workspace) ?? 0) * localShare];
    }),
  );
}

// Weighted max-min fairness: workspaces get their allocation in ascending order of demand per
// weight, and each leaves the capacity that it does not request to the following ones.
function allocateByWeight(
  demand: ReadonlyMap<string, number>,
  weights: ReadonlyMap<string, number>,
  capacity: number,
): Map<string, number> {
  const weightOf = (workspace: string): number => weights.get(workspace) ?? 1;
  const byDemandPerWeight = [...demand].sort(
    ([left, leftDemand], [right, rightDemand]) =>
      leftDemand / weightOf(left) - rightDemand / weightOf(right),
  );
  let remaining = capacity;
  let remainingWeight = byDemandPerWeight.reduce(
    (sum, [workspace]) => sum + weightOf(workspace),
    0,
  );
  const allocations = new Map<string, number>();
  for (const [workspace, requested] of byDemandPerWeight) {
    const fairShare = (remaining * weightOf(workspace)) / remainingWeight;
    const granted = Math.min(requested, fairShare);
    allocations.set(workspace, granted);
    remaining -= granted;
    remainingWeight -= weightOf(workspace);
  }
  return allocations;
}
