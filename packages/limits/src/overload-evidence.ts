//! Whether targets refuse so large a share of the offers that there is an overload: a sequential
//! test, which needs few offers where most are refused and works at two offers a second as at a
//! hundred.
import type { Milliseconds } from "@lovagebend/common";
import { DecayingRate } from "./decaying-rate.js";

// The logarithm of how much likelier a refusal, or an accepted offer, is in an overload (a quarter
// of the offers refused) than in calm (3%, as when single targets are full).
const refusalWeight = Math.log(0.25 / 0.03);
const acceptanceWeight = Math.log(0.75 / 0.97);
// Three refusals one after the other: a request of which all offers are refused, or a run of others.
// With two, requests were refused at nine tenths of what targets take.
const overloadWeight = 3 * refusalWeight;
const calmWeight = 1;
// Refusals that lie further apart do not add up.
const window: Milliseconds = 3_000;
const rateWindow: Milliseconds = 500;
// In offers a second. The more offers there are, the more refusals come together by chance.
const fewOffers = 4;
const millisecondsPerSecond = 1_000;

export class OverloadEvidence {
  private readonly offers = new DecayingRate(rateWindow);
  private weight = 0;
  private weighedAt: Milliseconds = 0;

  recordAccepted(now: Milliseconds): void {
    this.offers.add(1, now);
    this.add(acceptanceWeight, now);
  }

  recordRefused(now: Milliseconds): void {
    this.offers.add(1, now);
    this.recordLateStart(now);
  }

  /// Records that an accepted offer has waited too long, which shows the same as a refusal.
  recordLateStart(now: Milliseconds): void {
    this.add(refusalWeight, now);
  }

  /// The offers a second.
  offerRate(now: Milliseconds): number {
    return this.offers.rate(now) * millisecondsPerSecond;
  }

  isOverload(now: Milliseconds): boolean {
    return this.decayed(now) >= overloadWeight + this.chance(now);
  }

  isCalm(now: Milliseconds): boolean {
    return this.decayed(now) < calmWeight;
  }

  /// Has all evidence count for no further finding.
  clear(): void {
    this.weight = 0;
  }

  private chance(now: Milliseconds): number {
    return Math.log(Math.max(1, this.offerRate(now) / fewOffers));
  }

  private add(amount: number, now: Milliseconds): void {
    this.weight = Math.max(0, this.decayed(now) + amount);
    this.weighedAt = now;
  }

  private decayed(now: Milliseconds): number {
    return this.weight * Math.exp((this.weighedAt - now) / window);
  }
}
