//! Drawn fleets of six accelerator kinds on links that differ a hundredfold.
import type { ModelTarget } from "./fleet-model.js";

export const modelLayers = 24;
const segment = 6;
const kinds = [60, 90, 140, 220, 300, 400];
const links = [60, 200, 600, 2_000, 6_000];
const latencies = [0.4, 1, 2, 5, 20];

/// Draws `count` targets, each holding one or two of four segments; every segment is
/// held by some target. `scale` multiplies all rates.
export function drawFleet(
  count: number,
  draw: (bound: number) => number,
  scale = 1,
): ModelTarget[] {
  return Array.from({ length: count }, (_, index) => {
    const first = index % 4;
    const length = first < 3 && draw(4) === 0 ? 2 : 1;
    const place = draw(links.length);
    return {
      name: `engine-${index + 1}`,
      firstLayer: first * segment,
      endLayer: (first + length) * segment,
      tokensPerSecond: (kinds[draw(kinds.length)] ?? 100) * scale,
      linkPerSecond: (links[place] ?? 1_000) * scale,
      latency: latencies[links.length - 1 - place] ?? 1,
    };
  });
}
