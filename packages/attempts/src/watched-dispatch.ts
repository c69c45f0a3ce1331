//! Tracks the progress of one dispatch of a stream for stall detection. The stall timeout
//! adapts to the stream: it is a multiple of the moving average of its event intervals.
import type { Milliseconds } from "@lovagebend/common";
import type { PathPart } from "@lovagebend/routing";
import type { RoutedRequest } from "./routed-request.js";
import type { ReroutableStream, Urgency } from "./stream-watch.js";
import type { TargetRegistry } from "./target-registry.js";

// The prefill of a prompt of typical size takes much less than this time.
const firstEventStallTimeout: Milliseconds = 400;
// Below the shortest event gap objective, and above the usual event interval of busy engines.
const minimumStallTimeout: Milliseconds = 100;
// A stalled stream only causes a query of its first engine, so that a false alarm costs a report. With
// a factor of 4 most streams that lost an engine paused for longer than their objective allows.
const stallTimeoutInIntervals = 2.5;
// The weight of a new interval in the exponential moving average.
const intervalSmoothing = 0.2;

// With fewer, the pace is not known.
const minimumEvents = 15;

/// A stream that can be moved to a path without the `excluded` targets. The promise resolves
/// when the stream has been rerouted or the attempt has been given up.
export interface Reroutable {
  reroute(excluded: readonly string[], reason: string, urgency: Urgency): Promise<void>;
}

/// The view that `StreamWatch` has of one dispatch of a stream.
export class WatchedDispatch implements ReroutableStream {
  readonly request: string;
  targets: readonly string[];
  // The address (`host:port`) of each target when the path was chosen, by name.
  private addresses: ReadonlyMap<string, string>;
  lastProgressAt: Milliseconds;
  stallTimeout: Milliseconds = firstEventStallTimeout;
  private averageInterval: Milliseconds | undefined;
  private firstProgressAt: Milliseconds | undefined;
  private events = 0;
  private isRerouting = false;

  constructor(
    private readonly stream: Reroutable,
    request: string,
    path: readonly PathPart[],
    now: Milliseconds,
    private readonly targetRegistry: TargetRegistry,
    private readonly maximumEvents?: number,
  ) {
    this.request = request;
    this.targets = path.map(({ target }) => target);
    this.addresses = this.readAddresses(new Map());
    this.lastProgressAt = now;
  }

  /// Records that `events` have come.
  recordProgress(now: Milliseconds, events = 1): void {
    const interval = now - this.lastProgressAt;
    this.lastProgressAt = now;
    this.firstProgressAt ??= now;
    this.events += events;
    this.averageInterval =
      this.averageInterval === undefined
        ? 0
        : this.averageInterval + intervalSmoothing * (interval - this.averageInterval);
    this.stallTimeout = Math.max(
      minimumStallTimeout,
      stallTimeoutInIntervals * this.averageInterval,
    );
  }

  get remainingTime(): Milliseconds | undefined {
    const { maximumEvents, firstProgressAt, lastProgressAt, events } = this;
    if (maximumEvents === undefined || firstProgressAt === undefined) return undefined;
    if (events < minimumEvents) return undefined;
    const timePerEvent = (lastProgressAt - firstProgressAt) / (events - 1);
    return Math.max(0, maximumEvents - events) * timePerEvent;
  }

  /// Stops the stall detection while the caller does not read the answer.
  suspend(): void {
    this.stallTimeout = Infinity;
  }

  resume(now: Milliseconds): void {
    this.lastProgressAt = now;
    this.stallTimeout = firstEventStallTimeout;
  }

  recordReroute(path: readonly PathPart[], now: Milliseconds): void {
    this.targets = path.map(({ target }) => target);
    this.addresses = this.readAddresses(this.addresses);
    this.lastProgressAt = now;
    this.stallTimeout = firstEventStallTimeout;
  }

  findTarget(address: string): string | undefined {
    return this.targets.find((name) => this.addresses.get(name) === address);
  }

  reroute(excluded: readonly string[], reason: string, urgency: Urgency): void {
    if (this.isRerouting) return;
    this.isRerouting = true;
    void this.stream.reroute(excluded, reason, urgency).finally(() => {
      this.isRerouting = false;
    });
  }

  // A target that is no longer listed keeps its known address.
  private readAddresses(known: ReadonlyMap<string, string>): ReadonlyMap<string, string> {
    const addresses = new Map<string, string>();
    for (const name of this.targets) {
      const target = this.targetRegistry.get(name);
      const address = target === undefined ? known.get(name) : `${target.host}:${target.port}`;
      if (address !== undefined) addresses.set(name, address);
    }
    return addresses;
  }
}

/// Returns the highest number of events of an answer: an event has at least one token, and an answer
/// may end earlier.
export function countMaximumEvents({ tokens, promptTokens }: RoutedRequest): number {
  return tokens - promptTokens;
}
