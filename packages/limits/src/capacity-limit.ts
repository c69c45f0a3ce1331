//! The rate that full targets accept from one entry VM, found from what that entry VM sees: the
//! offers that targets accept and refuse, and streams that begin late. One of many entry VMs may
//! see two requests a second, so that rates are measured over seconds, and the limit falls with
//! each refusal but not below what is reserved for the most urgent requests.
import type { Milliseconds } from "@lovagebend/common";
import { DecayingRate } from "./decaying-rate.js";
import { LatestRate } from "./latest-rate.js";
import { OverloadEvidence } from "./overload-evidence.js";

/// What shows that targets are full.
export enum OverloadCause {
  Refusals = "refusals",
  LateStarts = "late starts",
}

export interface Overload {
  readonly cause: OverloadCause;
  readonly since: Milliseconds;
}

interface Released {
  readonly limit: number;
  readonly at: Milliseconds;
}

const millisecondsPerSecond = 1_000;
// Outlasts the moment in which a loss of targets stops everything, and holds several requests of an
// entry VM that sees few.
const acceptedWindow: Milliseconds = 3_000;
// The rate before an overload, for as long as one may take.
const referenceWindow: Milliseconds = 30_000;
const recentWindow: Milliseconds = 400;
// Fewer in the recent window show only chance.
const recentAcceptances = 4;
// What was accepted over some seconds bounds the limit from below.
const floorPart = 0.5;
// In requests a second. An entry VM of which nothing was accepted offers more, to find what targets
// accept again.
const minimumLimit = 0.3;
const minimumUnknownLimit = 2;
const unknownAcceptances = 0.2;
// Refusals closer than this often come from the offers of one request.
const decreaseInterval: Milliseconds = 100;
// What each entry VM gives up at a refusal. With a smaller part, more requests are refused by targets
// before all entry VMs together offer less.
const refusalDecrease = 0.36;
const lateDecrease = 0.15;
// The growth in a second, as a part of the rate before the overload: so slow that an entry VM causes
// some refusals in a hundred offers, and quicker when none has come for some seconds.
const growthDelay: Milliseconds = 300;
const minimumGrowth = 0.03;
const growthPerOffer = 0.006;
const maximumInitialGrowth = 0.1;
const calmDelay: Milliseconds = 4_000;
const calmGrowth = 0.1;
const maximumGrowth = 0.4;
// The limit ends when the demand is below what targets accept and nothing has shown an overload for
// this time.
const releaseDelay: Milliseconds = 500;
const releasePart = 0.85;
// One refusal within this time after its end restores the limit.
const restoreWindow: Milliseconds = 5_000;

export class CapacityLimit {
  private readonly evidence = new OverloadEvidence();
  private readonly demand = new LatestRate();
  private readonly accepted = new DecayingRate(acceptedWindow);
  private readonly acceptedRecently = new DecayingRate(recentWindow);
  private readonly acceptedBefore = new DecayingRate(referenceWindow);
  private cause = OverloadCause.Refusals;
  private signalAt: Milliseconds = -Infinity;
  private decreasedAt: Milliseconds = -Infinity;
  private hasUnappliedRefusal = false;
  private updatedAt: Milliseconds = 0;
  private currentLimit: number | undefined;
  private limitedSince: Milliseconds = 0;
  private released: Released | undefined;

  /// The requests a second that are admitted in all; `undefined` while all are.
  get limit(): number | undefined {
    return this.currentLimit;
  }

  get overload(): Overload | undefined {
    return this.currentLimit === undefined
      ? undefined
      : { cause: this.cause, since: this.limitedSince };
  }

  /// Records a request before it is admitted.
  recordRequest(now: Milliseconds): void {
    this.demand.add(now);
  }

  recordAccepted(now: Milliseconds): void {
    this.accepted.add(1, now);
    this.acceptedRecently.add(1, now);
    this.acceptedBefore.add(1, now);
    this.evidence.recordAccepted(now);
  }

  recordRefused(now: Milliseconds): void {
    this.hasUnappliedRefusal = true;
    this.cause = OverloadCause.Refusals;
    this.signalAt = now;
    this.evidence.recordRefused(now);
  }

  /// Records a stream that has waited too long for its first event. Only what was dispatched after
  /// the last decrease shows that the limit is still too high.
  recordLateStart(dispatchedAt: Milliseconds, now: Milliseconds): void {
    this.cause = OverloadCause.LateStarts;
    this.signalAt = now;
    this.evidence.recordLateStart(now);
    if (this.currentLimit === undefined || dispatchedAt <= this.decreasedAt) return;
    this.currentLimit *= 1 - lateDecrease;
    this.decreasedAt = now;
  }

  /// Whether the overload persists under the limit, so that the reservation must be lowered. The same
  /// refusals show it once.
  takePersistence(now: Milliseconds): boolean {
    const persists = this.evidence.isOverload(now);
    if (persists) this.evidence.clear();
    return persists;
  }

  isCalm(now: Milliseconds): boolean {
    return this.evidence.isCalm(now);
  }

  /// The requests a second that targets have accepted for some time, now or before the overload.
  findKnownRate(now: Milliseconds): number {
    const rate = Math.max(this.accepted.rate(now), this.acceptedBefore.rate(now));
    return rate * millisecondsPerSecond;
  }

  /// Adjusts the limit, which does not fall below `reserved`. `isBinding` is whether requests were
  /// refused because of it lately: otherwise it shows nothing of what targets accept, and does not
  /// grow.
  update(isBinding: boolean, reserved: number, now: Milliseconds): void {
    const elapsed = now - this.updatedAt;
    this.updatedAt = now;
    const limit = this.currentLimit;
    if (limit === undefined) {
      this.currentLimit = this.findLimit(now);
      return;
    }
    if (this.isOver(limit, now)) {
      this.released = { limit, at: now };
      this.evidence.clear();
      this.currentLimit = undefined;
      return;
    }
    const grown = isBinding ? limit + this.findGrowth(elapsed, now) : limit;
    this.currentLimit = Math.max(this.findFloor(reserved, now), this.decrease(grown, now));
  }

  private findLimit(now: Milliseconds): number | undefined {
    const before = this.findRestored(now);
    if (before === undefined && !this.evidence.isOverload(now)) return undefined;
    this.limitedSince = now;
    this.decreasedAt = now;
    this.hasUnappliedRefusal = false;
    this.released = undefined;
    this.evidence.clear();
    return Math.max(this.findAccepted(now), before ?? this.findMinimum(now));
  }

  private findRestored(now: Milliseconds): number | undefined {
    const { released } = this;
    if (released === undefined || now - released.at >= restoreWindow) return undefined;
    return this.signalAt > released.at ? released.limit : undefined;
  }

  private isOver(limit: number, now: Milliseconds): boolean {
    const enough = releasePart * Math.max(limit, this.findAccepted(now));
    return now - this.signalAt >= releaseDelay && this.demand.rate(now) < enough;
  }

  private findFloor(reserved: number, now: Milliseconds): number {
    return Math.max(
      this.findMinimum(now),
      floorPart * this.accepted.rate(now) * millisecondsPerSecond,
      Math.min(reserved, this.findKnownRate(now)),
    );
  }

  private findGrowth(elapsed: Milliseconds, now: Milliseconds): number {
    const sinceSignal = now - this.signalAt;
    if (sinceSignal < growthDelay) return 0;
    const byOffers = growthPerOffer * this.evidence.offerRate(now);
    const initial = Math.min(maximumInitialGrowth, Math.max(minimumGrowth, byOffers));
    const calm = Math.max(0, sinceSignal - calmDelay) / millisecondsPerSecond;
    const growth = Math.min(maximumGrowth, initial + calm * calmGrowth);
    return (growth * this.findKnownRate(now) * elapsed) / millisecondsPerSecond;
  }

  private decrease(limit: number, now: Milliseconds): number {
    if (!this.hasUnappliedRefusal || now - this.decreasedAt < decreaseInterval) return limit;
    this.hasUnappliedRefusal = false;
    this.decreasedAt = now;
    return limit * (1 - refusalDecrease);
  }

  private findAccepted(now: Milliseconds): number {
    const recent = this.acceptedRecently.rate(now);
    const isKnown = recent * recentWindow >= recentAcceptances;
    return Math.max(this.accepted.rate(now), isKnown ? recent : 0) * millisecondsPerSecond;
  }

  private findMinimum(now: Milliseconds): number {
    const acceptances = this.accepted.rate(now) * acceptedWindow;
    return acceptances < unknownAcceptances ? minimumUnknownLimit : minimumLimit;
  }
}
