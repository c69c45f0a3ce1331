//! The result that every benchmark reports.

/// `ratio` is the achieved value relative to the benchmark's reference, and `baselineRatio` is
/// the same ratio for the baseline. Both are 1 at the reference. `met` is the result of the
/// comparison that `goal` describes.
export interface BenchResult {
  readonly bench: string;
  readonly seed: number;
  readonly ratio: number;
  readonly baselineRatio: number;
  readonly goal: string;
  readonly met: boolean;
  readonly figures: Readonly<Record<string, number>>;
}

export function round(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}
