//! The two deployments of the demo and the whole-process tests, in small.
import { dataCentres, type EngineShape, type Shape } from "./deployment.js";

const layers = 12;

function engine(firstLayer: number, endLayer: number, place: number, speed: number): EngineShape {
  const dataCentre = dataCentres[place] ?? "";
  return { firstLayer, endLayer, dataCentre, tokensPerSecond: speed };
}

/// Weighs throughput: three stages, two replicas of each, and one engine that spans
/// two of them.
export const advisoryShape: Shape = {
  name: "advisory",
  route: "advice",
  service: "portal",
  layers,
  weighting: "throughput",
  entryVmsPerDataCentre: 2,
  engines: [
    engine(0, 4, 0, 20_000),
    engine(0, 4, 1, 10_000),
    engine(4, 8, 0, 20_000),
    engine(4, 8, 2, 8_000),
    engine(8, 12, 1, 20_000),
    engine(8, 12, 2, 10_000),
    engine(4, 12, 1, 5_000),
  ],
};

/// Weighs recovery: four stages, two replicas of each.
export const writingShape: Shape = {
  name: "writing",
  route: "drafts",
  service: "desk",
  layers,
  weighting: "recovery",
  entryVmsPerDataCentre: 2,
  engines: [
    engine(0, 3, 0, 20_000),
    engine(0, 3, 1, 10_000),
    engine(3, 6, 1, 20_000),
    engine(3, 6, 2, 10_000),
    engine(6, 9, 2, 20_000),
    engine(6, 9, 0, 10_000),
    engine(9, 12, 0, 20_000),
    engine(9, 12, 1, 10_000),
  ],
};
