//! Straight lines through measured points.
import { linearRegression, linearRegressionLine, rSquared } from "simple-statistics";
import { round } from "./bench-result.js";

/// A cost that grows from `base` by `perUnit`; `residual` is the largest distance of a
/// point from the line, as a share of the largest value.
export interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly (readonly [number, number])[];
  readonly base: number;
  readonly perUnit: number;
  readonly residual: number;
  readonly fit: number;
}

export function fitSlope(
  name: string,
  unit: string,
  points: readonly (readonly [number, number])[],
): Slope {
  const pairs = points.map(([size, value]) => [size, value]);
  const { m, b } = linearRegression(pairs);
  const line = linearRegressionLine({ m, b });
  const largest = Math.max(...points.map(([, value]) => Math.abs(value)), Number.MIN_VALUE);
  const distance = Math.max(...points.map(([size, value]) => Math.abs(value - line(size))));
  return {
    name,
    unit,
    points: points.map(([size, value]) => [size, round(value, 4)] as const),
    base: round(b, 6),
    perUnit: round(m, 9),
    residual: round(distance / largest),
    fit: round(rSquared(pairs, line)),
  };
}
