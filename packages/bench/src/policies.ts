//! Routing policies for the simulator: the router's own choice of a path, and the usual
//! load-balancing policies that serve as baselines.
import { choosePath } from "@lovagebend/routing";
import type { TargetView } from "@lovagebend/membership";
import type { PathPolicy, FleetState } from "./fleet-simulator.js";

/// Chooses paths with the router's own `choosePath`.
export function productPolicy(layers: number): PathPolicy {
  return ({ view }) => {
    const path = choosePath(view.getServingTargets("model"), { firstLayer: 0, endLayer: layers });
    return path.isOk ? path.value.targets.map(({ name }) => name) : undefined;
  };
}

/// Round robin at each layer boundary.
export function roundRobinPolicy(layers: number): PathPolicy {
  const turnsByLayer = new Map<number, number>();
  return (state) =>
    buildPath(state, layers, (candidates, layer) => {
      const turn = turnsByLayer.get(layer) ?? 0;
      turnsByLayer.set(layer, turn + 1);
      return candidates[turn % candidates.length];
    });
}

/// Chooses the target with the fewest open answers at each layer boundary.
export function leastOutstandingPolicy(layers: number): PathPolicy {
  return (state) =>
    buildPath(state, layers, (candidates) =>
      candidates.reduce((best, target) =>
        (state.openAnswers.get(target.name) ?? 0) < (state.openAnswers.get(best.name) ?? 0)
          ? target
          : best,
      ),
    );
}

/// Power of two choices at each layer boundary: draws two targets at random and chooses the
/// one that reported fewer queued tokens.
export function powerOfTwoChoicesPolicy(
  layers: number,
  draw: (bound: number) => number,
): PathPolicy {
  return (state) =>
    buildPath(state, layers, (candidates) => {
      const left = candidates[draw(candidates.length)];
      const right = candidates[draw(candidates.length)];
      if (left === undefined || right === undefined) return left ?? right;
      return left.load.queuedTokens <= right.load.queuedTokens ? left : right;
    });
}

// Builds a path from the first layer to the last by one choice per layer boundary.
function buildPath(
  { view }: FleetState,
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
