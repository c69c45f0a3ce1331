//! A listed target as this entry VM sees it: its entry, and what this entry VM has observed of the
//! process behind it.
import { ListedState, type LayerRange, type ListedTarget } from "@lovagebend/catalog";
import type { Clock, Milliseconds } from "@lovagebend/common";
import { DecayingRate } from "@lovagebend/limits";
import { FirstEventLateness } from "./first-event-lateness.js";

/// A listed target with the observations of this entry VM, which go on changing. Times are of the
/// monotonic clock: until `suspectedUntil` the target gets no new work, until `refusingUntil`
/// others are preferred. `openTokens` counts the tokens of this entry VM's open requests on it, and
/// `prefillTokensPerMillisecond` is the recent rate of prompt tokens sent to it. `load` is
/// the last reported ratio of running and waiting requests to its slots.
export interface Target extends ListedTarget {
  readonly openRequests: number;
  readonly openTokens: number;
  readonly prefillTokensPerMillisecond: number;
  readonly suspectedUntil: Milliseconds;
  readonly refusingUntil: Milliseconds;
  /// Until when suspicions of other entry VMs are taken into account.
  readonly peerSuspectedUntil: Milliseconds;
  readonly load: number;
  /// The layers in its entry. `layers` are those that it holds, as far as this entry VM knows.
  readonly listedLayers: LayerRange | undefined;
  /// By how much later than estimated streams on the target begin; decays with age.
  readonly firstEventLateness: Milliseconds;
}

// One entry VM of many receives only a few streams per second. The window is long enough to
// contain some of them and shorter than an answer.
const prefillRateWindow: Milliseconds = 2_000;

/// What this entry VM has observed of the process of one target.
export class TargetObservations {
  openRequests = 0;
  openTokens = 0;
  readonly prefillRate = new DecayingRate(prefillRateWindow);
  suspectedUntil: Milliseconds = -Infinity;
  refusingUntil: Milliseconds = -Infinity;
  peerSuspectedUntil: Milliseconds = -Infinity;
  consecutiveRefusals = 0;
  consecutiveFailures = 0;
  load = 0;
  respondedAt: Milliseconds = -Infinity;
  /// Whether the process has said that it is leaving.
  isLeaving = false;
  readonly firstEventLateness = new FirstEventLateness();
}

/// A view that costs nothing to hand out: each request looks at every target of its service
/// several times. The entry is the one with which the view was made.
export class ObservedTarget implements Target {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly listedState: ListedState;
  readonly born: number;
  readonly slots: number;
  readonly card: string | undefined;
  readonly listedLayers: LayerRange | undefined;
  /// Layers that the process has loaded since the entry was written.
  loadedLayers: LayerRange | undefined;

  constructor(
    entry: ListedTarget,
    private readonly observations: TargetObservations,
    private readonly clock: Clock,
  ) {
    this.name = entry.name;
    this.service = entry.service;
    this.host = entry.host;
    this.port = entry.port;
    this.dataCentre = entry.dataCentre;
    this.listedState = entry.state;
    this.born = entry.born;
    this.slots = entry.slots;
    this.card = entry.card;
    this.listedLayers = entry.layers;
  }

  get state(): ListedState {
    return this.observations.isLeaving ? ListedState.Leaving : this.listedState;
  }

  get layers(): LayerRange | undefined {
    return this.loadedLayers ?? this.listedLayers;
  }

  get openRequests(): number {
    return this.observations.openRequests;
  }

  get openTokens(): number {
    return this.observations.openTokens;
  }

  get prefillTokensPerMillisecond(): number {
    return this.observations.prefillRate.rate(this.clock.monotonicTime());
  }

  get suspectedUntil(): Milliseconds {
    return this.observations.suspectedUntil;
  }

  get refusingUntil(): Milliseconds {
    return this.observations.refusingUntil;
  }

  get peerSuspectedUntil(): Milliseconds {
    return this.observations.peerSuspectedUntil;
  }

  get firstEventLateness(): Milliseconds {
    return this.observations.firstEventLateness.read(this.clock.monotonicTime());
  }

  get load(): number {
    return this.observations.load;
  }
}
