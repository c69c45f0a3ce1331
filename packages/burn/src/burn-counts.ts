//! Request counts and latency histograms of one entry VM for the burn report. Counts are kept
//! in one-minute buckets and bounded memory, and merge with those of other entry VMs.
import * as hdr from "hdr-histogram-js";

/// The outcome of one request against its objective. `firstTokenMilliseconds` is the time to
/// the first token, `undefined` if the request received none.
export interface RequestOutcome {
  readonly workspace: string;
  readonly objective: string;
  readonly good: boolean;
  readonly firstTokenMilliseconds: number | undefined;
}

/// The serialised counts, as sent to peers and stored. A bucket is
/// `[minute since the epoch, good, bad]`; histograms are in HdrHistogram's compressed format,
/// by objective.
export interface BurnSnapshot {
  readonly series: readonly {
    readonly workspace: string;
    readonly objective: string;
    readonly buckets: readonly (readonly [number, number, number])[];
  }[];
  readonly histograms: Readonly<Record<string, string>>;
}

interface Bucket {
  good: number;
  bad: number;
}

const maximumWindowMinutes = 360;
const maximumSeries = 10_000;
const millisecondsPerMinute = 60_000;
const histogramOptions = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 600_000,
  numberOfSignificantValueDigits: 2,
} as const;

/// Counts by workspace and objective. Once there are `maximumSeries` series, new workspaces are
/// aggregated under the workspace `other`.
export class BurnCounts {
  private readonly series = new Map<string, Map<number, Bucket>>();
  private readonly histograms = new Map<string, hdr.Histogram>();

  /// Counts an outcome; `now` is the wall-clock time in milliseconds.
  record(outcome: RequestOutcome, now: number): void {
    const minute = Math.floor(now / millisecondsPerMinute);
    const buckets = this.bucketsOf(outcome.workspace, outcome.objective);
    const bucket = buckets.get(minute) ?? { good: 0, bad: 0 };
    if (outcome.good) bucket.good += 1;
    else bucket.bad += 1;
    buckets.set(minute, bucket);
    for (const bucketMinute of buckets.keys()) {
      if (bucketMinute >= minute - maximumWindowMinutes) break;
      buckets.delete(bucketMinute);
    }
    if (outcome.firstTokenMilliseconds === undefined) return;
    const value = Math.min(Math.round(outcome.firstTokenMilliseconds), 600_000);
    this.histogramOf(outcome.objective).recordValue(value);
  }

  /// Adds the counts of another entry VM, or of an earlier start of this one.
  merge(snapshot: BurnSnapshot): void {
    for (const { workspace, objective, buckets } of snapshot.series) {
      const ownBuckets = this.bucketsOf(workspace, objective);
      for (const [minute, good, bad] of buckets) {
        const bucket = ownBuckets.get(minute) ?? { good: 0, bad: 0 };
        ownBuckets.set(minute, { good: bucket.good + good, bad: bucket.bad + bad });
      }
    }
    for (const [objective, encoded] of Object.entries(snapshot.histograms)) {
      this.histogramOf(objective).add(hdr.decodeFromCompressedBase64(encoded));
    }
  }

  snapshot(): BurnSnapshot {
    const series = [...this.series].map(([name, buckets]) => {
      const [workspace = "", objective = ""] = name.split("/");
      const bucketList = [...buckets].map(
        ([minute, { good, bad }]) => [minute, good, bad] as const,
      );
      return { workspace, objective, buckets: bucketList };
    });
    const histograms = [...this.histograms].map(([objective, histogram]) => [
      objective,
      hdr.encodeIntoCompressedBase64(histogram),
    ]);
    return { series, histograms: Object.fromEntries(histograms) as Record<string, string> };
  }

  private bucketsOf(workspace: string, objective: string): Map<number, Bucket> {
    const existing = this.series.get(`${workspace}/${objective}`);
    if (existing !== undefined) return existing;
    const isAtMaximum = this.series.size >= maximumSeries;
    const seriesName = isAtMaximum ? `other/${objective}` : `${workspace}/${objective}`;
    const buckets = this.series.get(seriesName) ?? new Map<number, Bucket>();
    this.series.set(seriesName, buckets);
    return buckets;
  }

  private histogramOf(objective: string): hdr.Histogram {
    const existing = this.histograms.get(objective);
    if (existing !== undefined) return existing;
    const histogram = hdr.build(histogramOptions);
    this.histograms.set(objective, histogram);
    return histogram;
  }
}
