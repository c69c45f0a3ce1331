//! The maximum flow of tokens through layer ranges and links, as a linear programme. It
//! shares no code with the router, so that it is an independent upper bound on throughput.
import solver from "javascript-lp-solver";
import type { SimulatedTarget } from "./fleet-simulator.js";

/// Returns the maximum number of tokens a second that `targets` can carry through all layers.
export function computeMaximumFlow(targets: readonly SimulatedTarget[], layers: number): number {
  const constraints: Record<string, { max?: number; equal?: number }> = {};
  const variables: Record<string, Record<string, number>> = {};
  for (const { name, firstLayer, endLayer, tokensPerSecond, linkPerSecond } of targets) {
    const variable: Record<string, number> = { [`limit-${name}`]: 1 };
    constraints[`limit-${name}`] = { max: Math.min(tokensPerSecond, linkPerSecond) };
    if (firstLayer === 0) variable.flow = 1;
    else addFlowConservation(constraints, variable, firstLayer, -1);
    if (endLayer < layers) addFlowConservation(constraints, variable, endLayer, 1);
    variables[name] = variable;
  }
  const solution = solver.Solve({ optimize: "flow", opType: "max", constraints, variables }) as {
    result: number;
  };
  return solution.result;
}

// Requires the flow into a layer boundary to equal the flow out of it.
function addFlowConservation(
  constraints: Record<string, { max?: number; equal?: number }>,
  variable: Record<string, number>,
  layer: number,
  sign: number,
): void {
  constraints[`layer-${layer}`] = { equal: 0 };
  variable[`layer-${layer}`] = sign;
}
