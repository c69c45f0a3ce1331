//! The largest flow through layer ranges and links, as a linear programme: computed
//! apart from the router's own code.
import solver from "javascript-lp-solver";
import type { ModelTarget } from "./fleet-model.js";

/// The tokens a second that `targets` can carry through all layers.
export function flowBound(targets: readonly ModelTarget[], layers: number): number {
  const constraints: Record<string, { max?: number; equal?: number }> = {};
  const variables: Record<string, Record<string, number>> = {};
  for (const { name, firstLayer, endLayer, tokensPerSecond, linkPerSecond } of targets) {
    const variable: Record<string, number> = { [`limit-${name}`]: 1 };
    constraints[`limit-${name}`] = { max: Math.min(tokensPerSecond, linkPerSecond) };
    if (firstLayer === 0) variable.flow = 1;
    else balance(constraints, variable, firstLayer, -1);
    if (endLayer < layers) balance(constraints, variable, endLayer, 1);
    variables[name] = variable;
  }
  const solution = solver.Solve({ optimize: "flow", opType: "max", constraints, variables }) as {
    result: number;
  };
  return solution.result;
}

function balance(
  constraints: Record<string, { max?: number; equal?: number }>,
  variable: Record<string, number>,
  layer: number,
  sign: number,
): void {
  constraints[`layer-${layer}`] = { equal: 0 };
  variable[`layer-${layer}`] = sign;
}
