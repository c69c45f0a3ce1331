//! Random heterogeneous fleets for benchmarks: six kinds of accelerators, and links whose
//! bandwidths differ by a factor of one hundred.
import type { SimulatedTarget } from "./fleet-simulator.js";

export const layerCount = 24;
const layersPerSegment = 6;
const acceleratorRates = [60, 90, 140, 220, 300, 400];
const linkRates = [60, 200, 600, 2_000, 6_000];
const linkLatencies = [0.4, 1, 2, 5, 20];

/// Generates `count` targets, each of which holds one or two of four segments of the layers.
/// With at least four targets, every segment is held by a target. `rateFactor` multiplies
/// the rates of engines and links.
export function generateFleet(
  count: number,
  draw: (bound: number) => number,
  rateFactor = 1,
): SimulatedTarget[] {
  return Array.from({ length: count }, (_, index) => {
    const firstSegment = index % 4;
    const segmentCount = firstSegment < 3 && draw(4) === 0 ? 2 : 1;
    const linkIndex = draw(linkRates.length);
    return {
      name: `engine-${index + 1}`,
      firstLayer: firstSegment * layersPerSegment,
      endLayer: (firstSegment + segmentCount) * layersPerSegment,
      tokensPerSecond: (acceleratorRates[draw(acceleratorRates.length)] ?? 100) * rateFactor,
      linkPerSecond: (linkRates[linkIndex] ?? 1_000) * rateFactor,
      latency: linkLatencies[linkRates.length - 1 - linkIndex] ?? 1,
    };
  });
}
