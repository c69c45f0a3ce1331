//! A listed target as this entry VM sees it: its entry, and what this entry VM has observed of the
//! process behind it.
import type { LayerRange, ListedState, ListedTarget } from "@lovagebend/catalog";
import type { Clock, Milliseconds } from "@lovagebend/common";
import { DecayingRate } from "@lovagebend/limits";

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
  /// Until when an offer of this entry VM is on trial, which is the only one at a time.
  readonly trialUntil: Milliseconds;
  /// Until when suspicions of other entry VMs are taken into account.
  readonly peerSuspectedUntil: Milliseconds;
  readonly load: number;
}

// One entry VM of many receives only a few streams per second. The window is long enough to
// contain some of them and shorter than an answer.
const prefillRateWindow: Milliseconds = 2_000;
// About the age of an engine's load report.
const initialRefusalDuration: Milliseconds = 300;
const maximumRefusalDuration: Milliseconds = 2_400;
// A full engine refuses within this time.
const trialDuration: Milliseconds = 100;

/// What this entry VM has observed of the process of one target.
export class TargetObservations {
  openRequests = 0;
  openTokens = 0;
  readonly prefillRate = new DecayingRate(prefillRateWindow);
  suspectedUntil: Milliseconds = -Infinity;
  refusingUntil: Milliseconds = -Infinity;
  trialUntil: Milliseconds = -Infinity;
  peerSuspectedUntil: Milliseconds = -Infinity;
  consecutiveRefusals = 0;
  consecutiveFailures = 0;
  load = 0;

  /// Records that a request is offered. To a target whose last answer was a refusal, it is a trial.
  recordOffer(now: Milliseconds): void {
    if (this.consecutiveRefusals > 0) this.trialUntil = now + trialDuration;
  }

  /// Records that the target accepted an offer.
  recordAcceptance(): void {
    this.trialUntil = -Infinity;
  }

  /// Records that the target refused an offer. The time for which others are preferred doubles with
  /// each refusal until a success.
  recordRefusal(now: Milliseconds): void {
    if (this.refusingUntil > now) return;
    const duration = initialRefusalDuration * 2 ** this.consecutiveRefusals;
    this.refusingUntil = now + Math.min(maximumRefusalDuration, duration);
    this.consecutiveRefusals += 1;
  }
}

/// A view that costs nothing to hand out: each request looks at every target of its service
/// several times. The entry is the one with which the view was made.
export class ObservedTarget implements Target {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: ListedState;
  readonly born: number;
  readonly slots: number;
  readonly card: string | undefined;
  readonly layers: LayerRange | undefined;

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
    this.state = entry.state;
    this.born = entry.born;
    this.slots = entry.slots;
    this.card = entry.card;
    this.layers = entry.layers;
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

  get trialUntil(): Milliseconds {
    return this.observations.trialUntil;
  }

  get peerSuspectedUntil(): Milliseconds {
    return this.observations.peerSuspectedUntil;
  }

  get load(): number {
    return this.observations.load;
  }
}
