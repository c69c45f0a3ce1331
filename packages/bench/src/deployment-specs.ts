//! The specifications of the two small deployments that the demo, the benchmarks and the
//! whole-process tests start.
import { dataCentres, type EngineSpec, type DeploymentSpec } from "./deployment.js";

const layers = 12;

function createEngineSpec(
  firstLayer: number,
  endLayer: number,
  dataCentreIndex: number,
  tokensPerSecond: number,
): EngineSpec {
  const dataCentre = dataCentres[dataCentreIndex] ?? "";
  return { firstLayer, endLayer, dataCentre, tokensPerSecond };
}

/// Its pipeline is weighted for throughput: three stages with two replicas each, and one
/// engine that spans two of the stages.
export const advisorySpec: DeploymentSpec = {
  name: "advisory",
  route: "advice",
  service: "portal",
  layers,
  weighting: "throughput",
  entryVmsPerDataCentre: 2,
  engines: [
    createEngineSpec(0, 4, 0, 20_000),
    createEngineSpec(0, 4, 1, 10_000),
    createEngineSpec(4, 8, 0, 20_000),
    createEngineSpec(4, 8, 2, 8_000),
    createEngineSpec(8, 12, 1, 20_000),
    createEngineSpec(8, 12, 2, 10_000),
    createEngineSpec(4, 12, 1, 5_000),
  ],
};

/// Its pipeline is weighted for recovery: four stages with two replicas each.
export const writingSpec: DeploymentSpec = {
  name: "writing",
  route: "drafts",
  service: "desk",
  layers,
  weighting: "recovery",
  entryVmsPerDataCentre: 2,
  engines: [
    createEngineSpec(0, 3, 0, 20_000),
    createEngineSpec(0, 3, 1, 10_000),
    createEngineSpec(3, 6, 1, 20_000),
    createEngineSpec(3, 6, 2, 10_000),
    createEngineSpec(6, 9, 2, 20_000),
    createEngineSpec(6, 9, 0, 10_000),
    createEngineSpec(9, 12, 0, 20_000),
    createEngineSpec(9, 12, 1, 10_000),
  ],
};
