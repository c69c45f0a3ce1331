//! The targets that an answer will cross, one for each layer range.
import type { Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";
import { Result } from "true-myth";
import { estimateDelay } from "./expected-delay.js";

/// The targets in the order of their layers; each begins where the one before it
/// ends. `delay` is the sum of their expected delays.
export interface Path {
  readonly targets: readonly TargetView[];
  readonly delay: Milliseconds;
}

/// The layers to cross, from `firstLayer` up to, not including, `endLayer`.
/// `penalty` adds milliseconds to a target, for example for
/// a prefix that it does not hold; it is 0 where absent.
export interface PathQuery {
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly penalty?: (target: TargetView) => Milliseconds;
}

interface PartialPath {
  readonly delay: Milliseconds;
  readonly target: TargetView | undefined;
}

/// Chooses the path with the least expected delay among `targets`, all of which
/// must be fit for new work. The error names the first layer that no path
/// reaches past.
export function choosePath(
  targets: readonly TargetView[],
  query: PathQuery,
): Result<Path, { readonly layer: number }> {
  const best = new Map<number, PartialPath>([[query.firstLayer, { delay: 0, target: undefined }]]);
  const sortedTargets = targets
    .filter((target) => target.firstLayer >= query.firstLayer && target.endLayer <= query.endLayer)
    .sort((left, right) => left.firstLayer - right.firstLayer);
  for (const target of sortedTargets) {
    const before = best.get(target.firstLayer);
    if (before === undefined) continue;
    const targetDelay = estimateDelay(target) + (query.penalty?.(target) ?? 0);
    const delay = before.delay + targetDelay;
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
