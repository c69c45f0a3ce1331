//! Seeded random numbers for benchmarks.
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/// Draws whole numbers from 0 up to, not including, a bound.
export function drawFrom(seed: number): (bound: number) => number {
  const generator = xoroshiro128plus(seed);
  return (bound) => uniformInt(generator, 0, Math.max(0, bound - 1));
}
