//! What an entry VM counts for the burn report, in buckets of a minute, in bounded
//! memory and in a form that merges with that of other entry VMs.
import * as hdr from "hdr-histogram-js";

/// How one request fared against its objective. `firstTokenMilliseconds` is absent
/// where there was no first token.
export interface Outcome {
  readonly workspace: string;
  readonly objective: string;
  readonly good: boolean;
  readonly firstTokenMilliseconds: number | undefined;
}

/// Counts for sending and storing. A bucket is
/// `[minute since the epoch, good, bad]`; histograms are in HdrHistogram's
/// compressed form.
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

const longestWindowMinutes = 360;
const mostSeries = 10_000;
const millisecondsPerMinute = 60_000;
const histogramOptions = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 600_000,
  numberOfSignificantValueDigits: 2,
} as const;

/// Counts by workspace and objective. Beyond `mostSeries` the rest is counted
/// together under the workspace `other`.
export class BurnCounts {
  private readonly series = new Map<string, Map<number, Bucket>>();
  private readonly histograms = new Map<string, hdr.Histogram>();

  /// Counts an outcome; `now` is a wall reading in milliseconds.
  record(outcome: Outcome, now: number): void {
    const minute = Math.floor(now / millisecondsPerMinute);
    const buckets = this.bucketsOf(outcome.workspace, outcome.objective);
    const bucket = buckets.get(minute) ?? { good: 0, bad: 0 };
    if (outcome.good) bucket.good += 1;
    else bucket.bad += 1;
    buckets.set(minute, bucket);
    for (const old of buckets.keys()) {
      if (old >= minute - longestWindowMinutes) break;
      buckets.delete(old);
    }
    if (outcome.firstTokenMilliseconds === undefined) return;
    const value = Math.min(Math.round(outcome.firstTokenMilliseconds), 600_000);
    this.histogramOf(outcome.objective).recordValue(value);
  }

  /// Adds what another entry VM, or this one's predecessor, counted.
  merge(snapshot: BurnSnapshot): void {
    for (const { workspace, objective, buckets } of snapshot.series) {
      const own = this.bucketsOf(workspace, objective);
      for (const [minute, good, bad] of buckets) {
        const bucket = own.get(minute) ?? { good: 0, bad: 0 };
        own.set(minute, { good: bucket.good + good, bad: bucket.bad + bad });
      }
    }
    for (const [objective, encoded] of Object.entries(snapshot.histograms)) {
      this.histogramOf(objective).add(hdr.decodeFromCompressedBase64(encoded));
    }
  }

  snapshot(): BurnSnapshot {
    const series = [...this.series].map(([name, buckets]) => {
      const [workspace = "", objective = ""] = name.split("/");
      const list = [...buckets].map(([minute, { good, bad }]) => [minute, good, bad] as const);
      return { workspace, objective, buckets: list };
    });
    const histograms = [...this.histograms].map(([objective, histogram]) => [
      objective,
      hdr.encodeIntoCompressedBase64(histogram),
    ]);
    return { series, histograms: Object.fromEntries(histograms) as Record<string, string> };
  }

  private bucketsOf(workspace: string, objective: string): Map<number, Bucket> {
    const known = this.series.get(`${workspace}/${objective}`);
    if (known !== undefined) return known;
    const full = this.series.size >= mostSeries;
    const name = full ? `other/${objective}` : `${workspace}/${objective}`;
    const buckets = this.series.get(name) ?? new Map<number, Bucket>();
    this.series.set(name, buckets);
    return buckets;
  }

  private histogramOf(objective: string): hdr.Histogram {
    const known = this.histograms.get(objective);
    if (known !== undefined) return known;
    const histogram = hdr.build(histogramOptions);
    this.histograms.set(objective, histogram);
    return histogram;
  }
}
