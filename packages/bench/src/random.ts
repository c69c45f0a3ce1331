//! Seeded pseudo-random integers, so that a benchmark's run can be repeated.
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/// Returns a function that draws integers from 0 up to, not including, `bound`.
export function createSeededRandom(seed: number): (bound: number) => number {
  const generator = xoroshiro128plus(seed);
  return (bound) => uniformInt(generator, 0, Math.max(0, bound - 1));
}
