//! Bounds what an entry VM accepts by its processor. Timers that begin late show that the processor
//! has too much to do: the requests in progress become the limit, which falls while timers are late
//! and rises while they are on time. It is shared out among workspaces, and one that has its share in
//! progress is refused, so that a flood of one workspace is refused and the others go on.
//! Nothing is limited while timers are on time.
import type { Milliseconds } from "@lovagebend/common";
import { allocateCapacity, DecayingRate, ReturnSchedule } from "@lovagebend/limits";

/// Why a request is not accepted.
export enum ProcessorRefusal {
  /// Its workspace has its share in progress.
  Share = "share",
  /// All workspaces together have more in progress than the processor can serve.
  Total = "total",
}

export type ProcessorDecision =
  | { readonly kind: "accepted"; readonly release: (now: Milliseconds) => void }
  | {
      readonly kind: "refused";
      readonly reason: ProcessorRefusal;
      readonly retryAfter: Milliseconds;
    };

/// How often `recordTurn` should be called.
export const turnInterval: Milliseconds = 50;

// The lateness is averaged over about five turns. One long pause, as that of a whole machine, is no
// sign of too many requests.
const latenessWeight = 0.2;
const maximumLateness: Milliseconds = 150;
// A third of the least pause between events that callers notice would be 80 ms; half of that is left
// to the work itself. Sound entry VMs on shared processors are late by 5 to 20 ms.
const lateLateness: Milliseconds = 40;
const soundLateness: Milliseconds = 20;
// The requests in progress before the overload, over some three seconds.
const usualWeight = 0.015;
const initialFactor = 1.25;
// So few never keep the processor from its timers for long.
const minimumLimit = 16;
// Before this time, what is usual is not known, and the work of the start itself delays timers.
const learningTime: Milliseconds = 3_000;
const decreaseFactor = 0.93;
const increaseFactor = 1.03;
// With timers on time the processor is idle for a part of each turn.
const idleLateness: Milliseconds = 5;
const idleIncreaseFactor = 1.15;
// Above this part of the limit, what is in progress is still what was accepted before it fell.
const drainedFactor = 1.1;
// Many workspaces with little each may together exceed the limit by this factor.
const totalFactor = 1.25;
const releaseDelay: Milliseconds = 500;
// A workspace that was refused within this time asks for more than it has in progress.
const askingTime: Milliseconds = 1_000;
// A workspace without a request for this time has no share.
const activeTime: Milliseconds = 3_000;
const completionWindow: Milliseconds = 2_000;
const maximumWorkspaces = 1_000;

interface WorkspaceState {
  readonly returns: ReturnSchedule;
  inProgress: number;
  requestedAt: Milliseconds;
  refusedAt: Milliseconds;
}

export class ProcessorLimit {
  private readonly workspaces = new Map<string, WorkspaceState>();
  private readonly completions = new DecayingRate(completionWindow);
  private total = 0;
  private usual = 0;
  private firstTurnAt: Milliseconds | undefined;
  private averageLateness: Milliseconds = 0;
  private currentLimit: number | undefined;
  private limitedSince: Milliseconds = 0;
  private refusedAt: Milliseconds = -Infinity;
  private share = Infinity;
  // The requests in progress without those by which workspaces exceed their share.
  private withinShares = 0;

  /// `random` spreads the return of refused callers.
  constructor(private readonly random: () => number = Math.random) {}

  /// The requests that may be in progress; `undefined` while all are accepted.
  get limit(): number | undefined {
    return this.currentLimit;
  }

  get inProgress(): number {
    return this.total;
  }

  /// The average lateness of timers.
  get lateness(): Milliseconds {
    return this.averageLateness;
  }

  /// Since when not all requests are accepted, on the monotonic clock.
  get since(): Milliseconds | undefined {
    return this.currentLimit === undefined ? undefined : this.limitedSince;
  }

  /// Decides on a request that has been read. An accepted one counts until `release` is called, once.
  /// `timeLeft` is the time that its caller has left.
  accept(workspace: string, timeLeft: Milliseconds, now: Milliseconds): ProcessorDecision {
    const state = this.getWorkspace(workspace);
    state.requestedAt = now;
    const reason = this.findRefusal(state);
    if (reason !== undefined) {
      this.refusedAt = now;
      state.refusedAt = now;
      const freeRate = this.completions.rate(now) / Math.max(1, this.workspaces.size);
      const retryAfter = state.returns.next(Math.max(freeRate, 1e-6), timeLeft, now);
      return { kind: "refused", reason, retryAfter };
    }
    this.total += 1;
    this.withinShares += 1;
    state.inProgress += 1;
    const release = (endedAt: Milliseconds): void => {
      this.completions.add(1, endedAt);
      this.total -= 1;
      state.inProgress -= 1;
      // Short requests end between two turns, of which many begin while a turn is late.
      if (state.inProgress < this.share) this.withinShares -= 1;
    };
    return { kind: "accepted", release };
  }

  /// Records a timer that began `lateness` late, and adjusts the limit.
  recordTurn(lateness: Milliseconds, now: Milliseconds): void {
    const bounded = Math.min(maximumLateness, Math.max(0, lateness));
    this.averageLateness += latenessWeight * (bounded - this.averageLateness);
    this.removeIdle(now);
    if (this.currentLimit === undefined) this.beginLimit(now);
    else this.currentLimit = this.adjust(this.currentLimit, now);
    this.share = this.findShare(now);
    this.withinShares = 0;
    for (const { inProgress } of this.workspaces.values())
      this.withinShares += Math.min(this.share, inProgress);
  }

  private beginLimit(now: Milliseconds): void {
    this.firstTurnAt ??= now;
    if (this.averageLateness < lateLateness || now - this.firstTurnAt < learningTime) {
      this.usual += usualWeight * (this.total - this.usual);
      return;
    }
    this.limitedSince = now;
    this.currentLimit = Math.max(minimumLimit, this.usual * initialFactor);
  }

  private adjust(limit: number, now: Milliseconds): number | undefined {
    if (this.averageLateness >= lateLateness)
      return this.total > drainedFactor * limit
        ? limit
        : Math.max(minimumLimit, limit * decreaseFactor);
    if (this.averageLateness >= soundLateness) return limit;
    if (now - this.refusedAt >= releaseDelay) return undefined;
    return limit * (this.averageLateness < idleLateness ? idleIncreaseFactor : increaseFactor);
  }

  private findRefusal(state: WorkspaceState): ProcessorRefusal | undefined {
    const limit = this.currentLimit;
    if (limit === undefined) return undefined;
    if (state.inProgress >= this.share) return ProcessorRefusal.Share;
    return this.withinShares < totalFactor * limit ? undefined : ProcessorRefusal.Total;
  }

  // The requests in progress that each workspace may have: none is limited that has fewer.
  private findShare(now: Milliseconds): number {
    const limit = this.currentLimit;
    if (limit === undefined) return Infinity;
    const demands = [...this.workspaces].map(([workspace, { inProgress, refusedAt }]) => ({
      workspace,
      entryVm: "",
      tokensPerSecond: now - refusedAt < askingTime ? Math.max(limit, inProgress) : inProgress,
    }));
    const total = demands.reduce((sum, { tokensPerSecond }) => sum + tokensPerSecond, 0);
    if (total <= limit) return Infinity;
    return Math.max(1, ...allocateCapacity("", demands, new Map(), limit).values());
  }

  private removeIdle(now: Milliseconds): void {
    for (const [workspace, { inProgress, requestedAt }] of this.workspaces)
      if (inProgress === 0 && now - requestedAt >= activeTime) this.workspaces.delete(workspace);
  }

  // With too many workspaces, further ones share the state of the first.
  private getWorkspace(workspace: string): WorkspaceState {
    const isFull = this.workspaces.size >= maximumWorkspaces;
    const existing = this.workspaces.get(workspace);
    const known = existing ?? (isFull ? this.workspaces.values().next().value : undefined);
    if (known !== undefined) return known;
    const returns = new ReturnSchedule(this.random);
    const state = { returns, inProgress: 0, requestedAt: -Infinity, refusedAt: -Infinity };
    this.workspaces.set(workspace, state);
    return state;
  }
}
