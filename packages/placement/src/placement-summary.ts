//! Describes what the layers that engines hold support, for logs.
import type { LayeredModel } from "@lovagebend/catalog";
import { isUsableEngine, type PlacedEngine } from "./planner.js";
import { evaluateGroup, summariseGroups, type BindingConstraint } from "./throughput.js";

/// In answers a second, all data centres together. `binds` says for each data centre what bounds it.
export interface PlacementSummary {
  readonly throughput: number;
  readonly afterOneLoss: number;
  readonly afterFourLosses: number;
  readonly binds: Readonly<Record<string, BindingConstraint>>;
}

/// Evaluates `engines` with the layers that they hold. Each data centre is evaluated on its own,
/// because answers that cross between them are few.
export function describePlacement(
  engines: readonly PlacedEngine[],
  model: LayeredModel,
): PlacementSummary {
  const dataCentres = [...new Set(engines.map(({ dataCentre }) => dataCentre))].sort();
  const groups = dataCentres.map((dataCentre) => {
    const holdings = engines.flatMap((engine) =>
      engine.dataCentre === dataCentre &&
      engine.layers !== undefined &&
      isUsableEngine(engine, model)
        ? [{ card: engine.card, dataCentre, layers: engine.layers }]
        : [],
    );
    return { dataCentre, throughput: evaluateGroup(holdings, model) };
  });
  const summary = summariseGroups(groups.map(({ throughput }) => throughput));
  return {
    throughput: Math.round(summary.answersPerSecond),
    afterOneLoss: Math.round(summary.afterOneLoss),
    afterFourLosses: Math.round(summary.afterFourLosses),
    binds: Object.fromEntries(
      groups.map(({ dataCentre, throughput }) => [dataCentre, throughput.binding]),
    ),
  };
}
