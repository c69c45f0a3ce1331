//! Computes burn rates and first-token percentiles from merged counts.
import * as hdr from "hdr-histogram-js";
import type { BurnSnapshot } from "./burn-counts.js";

/// The burn rate of one objective for one workspace over one window. A `burn` of 1 consumes
/// the error budget exactly over the objective's period.
export interface BurnLine {
  readonly workspace: string;
  readonly objective: string;
  readonly windowMinutes: number;
  readonly good: number;
  readonly bad: number;
  readonly burn: number;
}

/// `percentiles` are the times to the first token in milliseconds, by objective.
export interface BurnReport {
  readonly asOf: string;
  readonly lines: readonly BurnLine[];
  readonly percentiles: Readonly<Record<string, { p50: number; p95: number; p99: number }>>;
}

const windowsInMinutes = [5, 60, 360];
const millisecondsPerMinute = 60_000;

/// Builds the report as of `now`, the wall-clock time in milliseconds. `shares` holds the target
/// share of good requests by objective; an objective without one has 0.95.
export function buildBurnReport(
  snapshot: BurnSnapshot,
  shares: ReadonlyMap<string, number>,
  now: number,
): BurnReport {
  const minute = Math.floor(now / millisecondsPerMinute);
  const lines = snapshot.series.flatMap(({ workspace, objective, buckets }) =>
    windowsInMinutes.map((windowMinutes): BurnLine => {
      const inWindow = buckets.filter(([at]) => at > minute - windowMinutes);
      const good = inWindow.reduce((sum, bucket) => sum + bucket[1], 0);
      const bad = inWindow.reduce((sum, bucket) => sum + bucket[2], 0);
      const errorBudget = 1 - (shares.get(objective) ?? 0.95);
      const burn = good + bad === 0 ? 0 : bad / (good + bad) / errorBudget;
      return { workspace, objective, windowMinutes, good, bad, burn };
    }),
  );
  const percentiles = Object.fromEntries(
    Object.entries(snapshot.histograms).map(([objective, encoded]) => {
      const histogram = hdr.decodeFromCompressedBase64(encoded);
      const valueAt = (percentile: number): number => histogram.getValueAtPercentile(percentile);
      return [objective, { p50: valueAt(50), p95: valueAt(95), p99: valueAt(99) }];
    }),
  );
  return { asOf: new Date(now).toISOString(), lines, percentiles };
}
