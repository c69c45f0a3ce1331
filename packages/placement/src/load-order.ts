//! Decides which of the planned loads begin now. More loads than the model allows at the same time
//! slow each other down, so that a layer without a holder would wait for loads that only add copies.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import type { PlacedEngine, Placement } from "./planner.js";

/// The loads at the same time that a model allows if it doesn't say.
export const defaultConcurrentLoads = 16;

/// A load that may begin now. `closesGap` is set if it brings a layer that has no holder.
export interface ChosenLoad extends Placement {
  readonly closesGap: boolean;
}

/// Returns up to `count` of `placements`: first those that are needed for layers without a holder
/// among `engines`, with the fewest layers first, since they end first; then the others in the order
/// of the plan.
export function chooseLoads(
  placements: readonly Placement[],
  engines: readonly PlacedEngine[],
  model: LayeredModel,
  count: number,
): readonly ChosenLoad[] {
  const covered = new Array<boolean>(model.layerCount).fill(false);
  const cover = ({ first, end }: LayerRange): void => {
    covered.fill(true, first, end);
  };
  for (const { layers } of engines) if (layers !== undefined) cover(layers);
  const closing = new Set<Placement>();
  const shortestFirst = [...placements].sort(
    (left, right) => countLayers(left) - countLayers(right),
  );
  for (const placement of shortestFirst) {
    const { first, end } = placement.layers;
    if (!covered.slice(first, end).includes(false)) continue;
    closing.add(placement);
    cover(placement.layers);
  }
  return [
    ...[...closing].map((placement) => ({ ...placement, closesGap: true })),
    ...placements
      .filter((placement) => !closing.has(placement))
      .map((placement) => ({ ...placement, closesGap: false })),
  ].slice(0, Math.max(0, count));
}

function countLayers({ layers }: Placement): number {
  return layers.end - layers.first;
}
