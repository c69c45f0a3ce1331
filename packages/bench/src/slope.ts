//! Least-squares fits of a cost over a size.
import { linearRegression, linearRegressionLine, rSquared } from "simple-statistics";
import { round } from "./bench-result.js";

/// A cost that grows linearly with a size, from `base` by `perUnit`. `residual` is the maximum
/// deviation of a point from the line, divided by the maximum value. `fit` is R squared.
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
  const predict = linearRegressionLine({ m, b });
  const maximumValue = Math.max(...points.map(([, value]) => Math.abs(value)), Number.MIN_VALUE);
  const maximumDistance = Math.max(
    ...points.map(([size, value]) => Math.abs(value - predict(size))),
  );
  return {
    name,
    unit,
    points: points.map(([size, value]) => [size, round(value, 4)] as const),
    base: round(b, 6),
    perUnit: round(m, 9),
    residual: round(maximumDistance / maximumValue),
    fit: round(rSquared(pairs, predict)),
  };
}
