//! Chooses the pipeline of targets for an answer, one target for each layer range, by a
//! shortest-path search over the expected delays. Targets are edges between layer
//! boundaries; their ranges must meet exactly.
import type { Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";
import { Result } from "true-myth";
import { estimateDelay } from "./expected-delay.js";

/// The targets in the order of their layers: each range begins where the previous one
/// ends. `delay` is the sum of the targets' expected delays and penalties.
export interface Path {
  readonly targets: readonly TargetView[];
  readonly delay: Milliseconds;
}

/// The layers to cover, from `firstLayer` (inclusive) to `endLayer` (exclusive).
/// `penalty` adds milliseconds to a target's delay, for example for a prefix that it does
/// not have cached; the default is 0.
export interface PathQuery {
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly penalty?: (target: TargetView) => Milliseconds;
}

interface PartialPath {
  readonly delay: Milliseconds;
  readonly target: TargetView | undefined;
}

/// Chooses the path with the minimum expected delay. The caller passes only `targets`
/// that accept new work. The error holds the first layer that no path covers.
export function choosePath(
  targets: readonly TargetView[],
  query: PathQuery,
): Result<Path, { readonly layer: number }> {
  const best = new Map<number, PartialPath>([[query.firstLayer, { delay: 0, target: undefined }]]);
  const sortedTargets = targets
    .filter((target) => target.firstLayer >= query.firstLayer && target.endLayer <= query.endLayer)
    .sort((left, right) => left.firstLayer - right.firstLayer);
  for (const target of sortedTargets) {
    const previous = best.get(target.firstLayer);
    if (previous === undefined) continue;
    const targetDelay = estimateDelay(target) + (query.penalty?.(target) ?? 0);
    const delay = previous.delay + targetDelay;
    if (delay < (best.get(target.endLayer)?.delay ?? Infinity)) {
      best.set(target.endLayer, { delay, target });
    }
  }
  const end = best.get(query.endLayer);
  if (end === undefined) return Result.err({ layer: Math.max(...best.keys()) });
  return Result.ok({ targets: reconstructPath(best, query), delay: end.delay });
}

function reconstructPath(best: ReadonlyMap<number, PartialPath>, query: PathQuery): TargetView[] {
  const path: TargetView[] = [];
  let layer = query.endLayer;
  while (layer > query.firstLayer) {
    const target = best.get(layer)?.target;
    if (target === undefined) break;
    path.unshift(target);
    layer = target.firstLayer;
  }
  return path;
}
