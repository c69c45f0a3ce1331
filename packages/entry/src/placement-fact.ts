//! The fact that the holder of the placement role publishes: its claim, and the loads that the list
//! of targets doesn't show yet, with the counts of accepted orders. The next holder plans from them.
import { maximumLayerCount } from "@lovagebend/catalog";
import { LoadState, type OrderedLoad } from "@lovagebend/placement";
import * as z from "zod";

const maximumNameLength = 200;
const maximumTerm = 1_000_000_000;
// Bounds the fact to some 40 kB. Of more loads the latest are named; the reports of the other
// engines are read before they are ordered.
const maximumLoads = 256;

export const placementFactSchema = z.object({
  term: z.number().int().nonnegative().max(maximumTerm),
  loads: z
    .array(
      z
        .object({
          target: z.string().min(1).max(maximumNameLength),
          born: z.number(),
          first: z.number().int().nonnegative(),
          end: z.number().int().positive().max(maximumLayerCount),
          state: z.enum(LoadState),
          orders: z.number().int().nonnegative().optional(),
          age: z.number().nonnegative(),
        })
        .refine(({ first, end }) => first < end, "a range with at least one layer"),
    )
    .max(maximumLoads),
});

export type PlacementFact = z.output<typeof placementFactSchema>;

export function describePlacement(term: number, loads: readonly OrderedLoad[]): PlacementFact {
  return {
    term: Math.min(term, maximumTerm),
    loads: loads.slice(0, maximumLoads).map(({ engine, born, layers, state, orders, age }) => ({
      target: engine,
      born,
      ...layers,
      state,
      orders,
      age,
    })),
  };
}

/// The loads of a fact that was published `age` milliseconds ago.
export function readLoads({ loads }: PlacementFact, age: number): readonly OrderedLoad[] {
  return loads.map(({ target, born, first, end, state, orders, age: ownAge }) => ({
    engine: target,
    born,
    layers: { first, end },
    state,
    orders,
    age: age + ownAge,
  }));
}
