//! Computes the maximum token throughput of a set of targets through all layers, as a
//! maximum-flow problem over the layer boundaries. Admission control uses the result as
//! the capacity of a model's targets.
import type { TargetView } from "@lovagebend/membership";

/// `tokensPerSecond` is the maximum throughput of the whole set; `byTarget` holds each
/// target's share of it in tokens per second.
export interface Flow {
  readonly tokensPerSecond: number;
  readonly byTarget: ReadonlyMap<string, number>;
}

interface Edge {
  readonly to: number;
  readonly target: string | undefined;
  residual: number;
  readonly reverse: () => Edge;
}

const minimumResidual = 1e-9;

/// Computes the maximum flow from layer 0 to `layers` by shortest augmenting paths
/// (Edmonds-Karp). Each target is an edge from its first layer to its end layer with its
/// token rate as capacity.
export function computeMaximumFlow(targets: readonly TargetView[], layers: number): Flow {
  const graph = buildGraph(targets);
  let total = 0;
  for (;;) {
    const path = shortestPath(graph, layers);
    if (path === undefined) break;
    const amount = Math.min(...path.map((edge) => edge.residual));
    for (const edge of path) {
      edge.residual -= amount;
      edge.reverse().residual += amount;
    }
    total += amount;
  }
  const byTarget = new Map<string, number>();
  for (const target of targets) byTarget.set(target.name, 0);
  for (const edge of [...graph.values()].flat()) {
    if (edge.target !== undefined) byTarget.set(edge.target, edge.reverse().residual);
  }
  return { tokensPerSecond: total, byTarget };
}

function buildGraph(targets: readonly TargetView[]): Map<number, Edge[]> {
  const graph = new Map<number, Edge[]>();
  const append = (from: number, edge: Edge): void => {
    graph.set(from, [...(graph.get(from) ?? []), edge]);
  };
  for (const { name, firstLayer, endLayer, tokensPerSecond } of targets) {
    const forward: Edge = {
      to: endLayer,
      target: name,
      residual: tokensPerSecond,
      reverse: () => backward,
    };
    const backward: Edge = {
      to: firstLayer,
      target: undefined,
      residual: 0,
      reverse: () => forward,
    };
    append(firstLayer, forward);
    append(endLayer, backward);
  }
  return graph;
}

function shortestPath(graph: ReadonlyMap<number, Edge[]>, layers: number): Edge[] | undefined {
  const reached = new Map<number, Edge[]>([[0, []]]);
  const queue = [0];
  for (let layer = queue.shift(); layer !== undefined; layer = queue.shift()) {
    const path = reached.get(layer) ?? [];
    if (layer === layers) return path;
    for (const edge of graph.get(layer) ?? []) {
      if (edge.residual <= minimumResidual || reached.has(edge.to)) continue;
      reached.set(edge.to, [...path, edge]);
      queue.push(edge.to);
    }
  }
  return undefined;
}
