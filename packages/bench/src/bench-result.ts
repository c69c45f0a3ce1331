//! What a benchmark reports.

/// `ratio` is what was achieved over the stated reference, `baselineRatio` the same of
/// the plain way. Whether the goal is met is said by `met`.
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
