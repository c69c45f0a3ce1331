//! The requests of one priority at one entry VM: what each workspace asks for, what it has left of
//! its share.
import type { Milliseconds } from "@lovagebend/common";
import { DecayingRate } from "./decaying-rate.js";
import type { PriorityShare } from "./priority-shares.js";
import { ReturnSchedule } from "./return-schedule.js";

// Long enough for workspaces of which one entry VM sees a request in some seconds.
const demandWindow: Milliseconds = 3_000;
// What a workspace may ask for at once, as a part of its share of a second, and at least in requests:
// those of a small workspace come at random, and must not be refused for coming together.
const burstTime: Milliseconds = 300;
const minimumBurst = 5;
// Requests that come together are not refused for it while their workspace asks, over some seconds,
// for less than this part of the share.
const belowPart = 0.9;
const millisecondsPerSecond = 1_000;
const maximumWorkspaces = 1_000;

export class WorkspaceState {
  readonly demand = new DecayingRate(demandWindow);
  private tokens = minimumBurst;

  constructor(
    readonly returns: ReturnSchedule,
    private refilledAt: Milliseconds,
  ) {}

  /// Whether the next request keeps to `share`, in requests a second, and is counted to it.
  keepsTo(share: number, now: Milliseconds): boolean {
    if (share === Infinity) return true;
    const burst = Math.max(minimumBurst, (share * burstTime) / millisecondsPerSecond);
    const earned = ((now - this.refilledAt) * share) / millisecondsPerSecond;
    this.tokens = Math.min(burst, this.tokens + earned);
    this.refilledAt = now;
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return true;
    }
    return this.demand.rate(now) * millisecondsPerSecond < belowPart * share;
  }

  /// Begins a time of limits with `tokens`.
  beginLimit(tokens: number, now: Milliseconds): void {
    this.tokens = tokens;
    this.refilledAt = now;
  }
}

export class PriorityClass {
  private readonly workspaces = new Map<string, WorkspaceState>();
  private readonly total = new DecayingRate(demandWindow);

  constructor(
    readonly priority: number,
    private readonly random: () => number,
  ) {}

  /// The requests a second.
  readonly demand = (now: Milliseconds): number => this.total.rate(now) * millisecondsPerSecond;

  recordRequest(workspace: string, now: Milliseconds): WorkspaceState {
    const state = this.getWorkspace(workspace, now);
    state.demand.add(1, now);
    this.total.add(1, now);
    return state;
  }

  /// The requests a second of each workspace that asks for at least `minimum`.
  getDemands(minimum: number, now: Milliseconds): ReadonlyMap<string, number> {
    const demands = new Map<string, number>();
    for (const [workspace, { demand }] of this.workspaces) {
      const rate = demand.rate(now) * millisecondsPerSecond;
      if (rate >= minimum) demands.set(workspace, rate);
    }
    return demands;
  }

  /// Begins a time of limits, with parts of a request that differ between entry VMs: otherwise they
  /// would all admit their first request of each workspace at once. A priority that gets more than
  /// its guaranteed rate has a whole request more for each workspace, since the demand of the small
  /// ones is known roughly.
  beginLimit({ available, guaranteed }: PriorityShare, now: Milliseconds): void {
    const whole = available > guaranteed ? 1 : 0;
    for (const state of this.workspaces.values()) state.beginLimit(whole + this.random(), now);
  }

  private getWorkspace(workspace: string, now: Milliseconds): WorkspaceState {
    const existing = this.workspaces.get(workspace);
    if (existing !== undefined) return existing;
    if (this.workspaces.size >= maximumWorkspaces) this.workspaces.clear();
    const state = new WorkspaceState(new ReturnSchedule(this.random), now);
    this.workspaces.set(workspace, state);
    return state;
  }
}
