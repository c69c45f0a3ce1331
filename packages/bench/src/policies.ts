//! The product's choice of a path and the plain ways it is measured against.
import { choosePath } from "@lovagebend/routing";
import type { TargetView } from "@lovagebend/membership";
import type { ChoosePolicy, ModelState } from "./fleet-model.js";

/// The product's way.
export function productPolicy(layers: number): ChoosePolicy {
  return ({ view }) => {
    const path = choosePath(view.getServingTargets("model"), { firstLayer: 0, endLayer: layers });
    return path.isOk ? path.value.targets.map(({ name }) => name) : undefined;
  };
}

/// At each layer boundary the next target in turn.
export function roundRobinPolicy(layers: number): ChoosePolicy {
  const turns = new Map<number, number>();
  return (state) =>
    walk(state, layers, (candidates, layer) => {
      const turn = turns.get(layer) ?? 0;
      turns.set(layer, turn + 1);
      return candidates[turn % candidates.length];
    });
}

/// At each layer boundary the target with the fewest open answers.
export function leastOutstandingPolicy(layers: number): ChoosePolicy {
  return (state) =>
    walk(state, layers, (candidates) =>
      candidates.reduce((best, target) =>
        (state.open.get(target.name) ?? 0) < (state.open.get(best.name) ?? 0) ? target : best,
      ),
    );
}

/// At each layer boundary the better of two drawn targets, by what they reported.
export function randomOfTwoPolicy(layers: number, draw: (bound: number) => number): ChoosePolicy {
  return (state) =>
    walk(state, layers, (candidates) => {
      const left = candidates[draw(candidates.length)];
      const right = candidates[draw(candidates.length)];
      if (left === undefined || right === undefined) return left ?? right;
      return left.load.queuedTokens <= right.load.queuedTokens ? left : right;
    });
}

function walk(
  { view }: ModelState,
  layers: number,
  choose: (candidates: readonly TargetView[], layer: number) => TargetView | undefined,
): readonly string[] | undefined {
  const serving = view.getServingTargets("model");
  const path: string[] = [];
  for (let layer = 0; layer < layers;) {
    const candidates = serving.filter(({ firstLayer }) => firstLayer === layer);
    if (candidates.length === 0) return undefined;
    const target = choose(candidates, layer);
    if (target === undefined) return undefined;
    path.push(target.name);
    layer = target.endLayer;
  }
  return path;
}
