//! Bounds the data centres among which a path is searched. The cost of a search grows with the number
//! of engines, and most paths stay in their data centre.
import type { Target } from "./observed-target.js";

// With four data centres of 150 engines each, a choice takes some 2 ms; with 16 it took 10 ms.
const maximumDataCentres = 4;

/// Returns the targets of the `kept` data centres and of a few others, which are drawn at random so
/// that entry VMs without room of their own spread their streams.
export function drawNearTargets(
  targets: readonly Target[],
  kept: readonly string[],
  random: () => number,
): readonly Target[] {
  const others = [...new Set(targets.map(({ dataCentre }) => dataCentre))].filter(
    (name) => !kept.includes(name),
  );
  const wanted = maximumDataCentres - kept.length;
  if (others.length <= wanted) return targets;
  const searched = new Set(kept);
  for (let count = 0; count < wanted; count += 1) {
    const [drawn] = others.splice(Math.floor(random() * others.length), 1);
    if (drawn !== undefined) searched.add(drawn);
  }
  return targets.filter(({ dataCentre }) => searched.has(dataCentre));
}
