//! Admission to targets that refuse requests, shared out fairly among workspaces. While targets
//! accept what they are offered, everything is admitted. When they refuse, offering them more only
//! costs the callers time: the rate that they accept becomes the limit of this entry VM, and a
//! workspace that asks for more than its share of it is refused at once. No coordinator is needed,
//! since the targets refuse all entry VMs alike.
import type { Milliseconds } from "@lovagebend/common";
import { OverloadCause, type Overload } from "./capacity-limit.js";
import { DecayingRate } from "./decaying-rate.js";
import type {
  AdmissionDecision,
  FairAdmissionRequest,
  DecidedAdmission,
  EngineAdmission,
} from "./engine-admission.js";
import { allocateCapacity } from "./workspace-shares.js";

// The accepted, refused and requested rates follow a change of load within about this time.
const rateWindow: Milliseconds = 400;
// With fewer refusals in a second than this, an entry VM cannot tell overload from chance.
const minimumRefusals = 5;
const minimumRefusedShare = 0.15;
const adjustmentInterval: Milliseconds = 100;
// After each interval with a refusal, and after each one that lies long enough behind the last. Free
// capacity is found within a second or two, at the price of some refusals.
const decreaseFactor = 0.75;
const increaseFactor = 1.01;
const increaseDelay: Milliseconds = 300;
// The first limit is no lower than what was accepted over this time, since a loss of targets may have
// stopped everything for a moment.
const firstLimitWindow: Milliseconds = 2_000;
// In requests a second: an entry VM always offers that many.
const minimumLimit = 2;
// The limit ends when the demand is below it and targets have refused nothing for this time.
const releaseDelay: Milliseconds = 500;
// What a workspace may ask for at once, as a part of its share of a second, and at least in requests:
// those of a small workspace come at random, and must not be refused for coming together.
const burstTime: Milliseconds = 300;
const minimumBurst = 5;
const minimumRetryAfter: Milliseconds = 300;
const maximumRetryAfter: Milliseconds = 3_000;
const millisecondsPerSecond = 1_000;
const maximumWorkspaces = 1_000;

interface WorkspaceState {
  readonly demand: DecayingRate;
  tokens: number;
  refilledAt: Milliseconds;
}

/// The admission of one entry VM to the targets of one service. Times are of the monotonic clock.
export class FairAdmission implements EngineAdmission {
  onDecision: (decision: DecidedAdmission) => void = () => undefined;
  private readonly accepted = new DecayingRate(rateWindow);
  private readonly acceptedBefore = new DecayingRate(firstLimitWindow);
  private readonly refused = new DecayingRate(rateWindow);
  private readonly workspaces = new Map<string, WorkspaceState>();
  // The requests a second that each workspace may send: none is limited that asks for less.
  private share = Infinity;
  private lastRefusedAt: Milliseconds = -Infinity;
  private limit: number | undefined;
  private limitedSince: Milliseconds = -Infinity;
  private adjustedAt: Milliseconds = -Infinity;

  /// `random` spreads the return of refused callers.
  constructor(private readonly random: () => number = Math.random) {}

  /// The requests a second that are admitted in all; `undefined` while all are.
  get currentLimit(): number | undefined {
    return this.limit;
  }

  get overload(): Overload | undefined {
    return this.limit === undefined
      ? undefined
      : { cause: OverloadCause.Refusals, since: this.limitedSince };
  }

  // Priorities are not told apart.
  getDemand(): ReadonlyMap<number, number> {
    return new Map();
  }

  // Only refusals show that targets are full here.
  recordLateStart(): void {
    return;
  }

  // The limit is adjusted by the requests that come.
  review(): void {
    return;
  }

  /// Records that a target accepted an offer.
  recordAccepted(now: Milliseconds): void {
    this.accepted.add(1, now);
    this.acceptedBefore.add(1, now);
  }

  /// Records that a target refused an offer because it is full.
  recordRefused(now: Milliseconds): void {
    this.refused.add(1, now);
    this.lastRefusedAt = now;
  }

  /// Decides on a request before it is offered to any target.
  admit(request: FairAdmissionRequest | string, now: Milliseconds): AdmissionDecision {
    const { workspace, priority } =
      typeof request === "string" ? { workspace: request, priority: 0 } : request;
    const decision = this.decide(workspace, now);
    this.onDecision({ priority, isAdmitted: decision.kind === "admitted" });
    return decision;
  }

  private decide(workspace: string, now: Milliseconds): AdmissionDecision {
    const state = this.getState(workspace, now);
    state.demand.add(1, now);
    if (now - this.adjustedAt >= adjustmentInterval) this.adjust(now);
    if (this.limit === undefined) return { kind: "admitted" };
    const { share } = this;
    const burst = Math.max(minimumBurst, (share * burstTime) / millisecondsPerSecond);
    const earned = ((now - state.refilledAt) * share) / millisecondsPerSecond;
    state.tokens = Math.min(burst, state.tokens + earned);
    state.refilledAt = now;
    if (state.tokens < 1) return { kind: "refused", retryAfter: this.chooseRetryAfter(state, now) };
    state.tokens -= 1;
    return { kind: "admitted" };
  }

  private adjust(now: Milliseconds): void {
    const sinceAdjustment = now - this.adjustedAt;
    this.adjustedAt = now;
    const limit =
      this.limit === undefined
        ? this.findLimit(now)
        : this.adjustLimit(this.limit, now, sinceAdjustment);
    if (limit === undefined) {
      this.limit = undefined;
      return;
    }
    if (this.limit === undefined) this.limitedSince = now;
    const demands = [...this.workspaces].map(([workspace, { demand }]) => ({
      workspace,
      entryVm: "",
      tokensPerSecond: demand.rate(now) * millisecondsPerSecond,
    }));
    const total = demands.reduce((sum, { tokensPerSecond }) => sum + tokensPerSecond, 0);
    const isOver = total < limit && now - this.lastRefusedAt >= releaseDelay;
    this.limit = isOver ? undefined : limit;
    const allocations = allocateCapacity("", demands, new Map(), limit);
    const isLimited = demands.some(
      ({ workspace, tokensPerSecond }) => (allocations.get(workspace) ?? 0) < tokensPerSecond,
    );
    this.share = isLimited ? Math.max(...allocations.values()) : Infinity;
  }

  // The first limit: what targets accept now, if they refuse so much that there is an overload.
  private findLimit(now: Milliseconds): number | undefined {
    const accepted = this.accepted.rate(now) * millisecondsPerSecond;
    const refused = this.refused.rate(now) * millisecondsPerSecond;
    const isOverloaded =
      refused >= minimumRefusals && refused > minimumRefusedShare * (accepted + refused);
    const acceptedBefore = this.acceptedBefore.rate(now) * millisecondsPerSecond;
    return isOverloaded ? Math.max(minimumLimit, accepted, acceptedBefore) : undefined;
  }

  private adjustLimit(limit: number, now: Milliseconds, elapsed: Milliseconds): number {
    if (this.lastRefusedAt > now - elapsed) return Math.max(minimumLimit, limit * decreaseFactor);
    return now - this.lastRefusedAt >= increaseDelay ? limit * increaseFactor : limit;
  }

  // The more a workspace exceeds its share, the later its callers return, so that the next of them
  // find a place.
  private chooseRetryAfter({ demand }: WorkspaceState, now: Milliseconds): Milliseconds {
    const excess = (demand.rate(now) * millisecondsPerSecond) / this.share;
    const wait = Math.min(maximumRetryAfter, minimumRetryAfter * Math.max(1, excess));
    return wait * (0.5 + this.random());
  }

  private getState(workspace: string, now: Milliseconds): WorkspaceState {
    const existing = this.workspaces.get(workspace);
    if (existing !== undefined) return existing;
    if (this.workspaces.size >= maximumWorkspaces) this.workspaces.clear();
    const state = { demand: new DecayingRate(rateWindow), tokens: minimumBurst, refilledAt: now };
    this.workspaces.set(workspace, state);
    return state;
  }
}
