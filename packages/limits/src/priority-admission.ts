//! Admission to targets that refuse requests, by priority and, within one priority, shared out
//! fairly among workspaces. While targets accept what they are offered, everything is admitted.
//! When they refuse, offering them more only costs the callers time: the rate that they accept
//! becomes the limit of this entry VM. The priorities use it in their order, and a workspace that
//! asks for more than its share of what its priority gets is refused at once. Nothing else is
//! refused, so that an error of the limit, which an entry VM with few requests knows roughly, falls
//! on those that ask for most and are least urgent. No coordinator is needed, since the targets
//! refuse all entry VMs alike.
import type { Milliseconds } from "@lovagebend/common";
import type {
  AdmissionDecision,
  FairAdmissionRequest,
  DecidedAdmission,
  EngineAdmission,
} from "./engine-admission.js";
import { CapacityLimit, type Overload } from "./capacity-limit.js";
import { PriorityClass, type WorkspaceState } from "./priority-class.js";
import { Reservation } from "./reservation.js";
import { sharePriorities, type PriorityDemand, type PriorityShare } from "./priority-shares.js";

const adjustmentInterval: Milliseconds = 100;
const millisecondsPerSecond = 1_000;
const lowestPriority = 9;
// A limit that has refused no request for this time is above the demand.
const bindingWindow: Milliseconds = 1_000;
// Priorities and workspaces that ask for less have no claim, in requests a second: 0.3% of one
// request in the time constant of the demands.
const minimumDemand = 0.001;

/// The admission of one entry VM to the targets of one service. Times are of the monotonic clock.
export class PriorityAdmission implements EngineAdmission {
  /// Called for each decision.
  onDecision: (decision: DecidedAdmission) => void = () => undefined;
  private readonly capacity = new CapacityLimit();
  private readonly classes = new Map<number, PriorityClass>();
  private shares: ReadonlyMap<number, PriorityShare> = new Map();
  private readonly reservation = new Reservation();
  private adjustedAt: Milliseconds = -Infinity;
  private refusedAt: Milliseconds = -Infinity;

  /// `random` spreads the return of refused callers.
  constructor(private readonly random: () => number = Math.random) {}

  /// The requests a second that are admitted in all; `undefined` while all are.
  get currentLimit(): number | undefined {
    return this.capacity.limit;
  }

  /// Why and since when not all requests are admitted.
  get overload(): Overload | undefined {
    return this.capacity.overload;
  }

  /// The requests a second that each priority asks for.
  getDemand(now: Milliseconds): ReadonlyMap<number, number> {
    return new Map([...this.classes].map(([priority, { demand }]) => [priority, demand(now)]));
  }

  /// Records that a target accepted an offer.
  recordAccepted(now: Milliseconds): void {
    this.capacity.recordAccepted(now);
  }

  /// Records that a target refused an offer because it is full.
  recordRefused(now: Milliseconds): void {
    this.capacity.recordRefused(now);
  }

  /// Records that an offer of `dispatchedAt` has waited too long for its first event.
  recordLateStart(dispatchedAt: Milliseconds, now: Milliseconds): void {
    this.capacity.recordLateStart(dispatchedAt, now);
  }

  /// Adjusts the limit, so that it also ends when no more requests come.
  review(now: Milliseconds): void {
    if (now - this.adjustedAt >= adjustmentInterval) this.adjust(now);
  }

  /// Decides on a request before it is offered to any target. A workspace alone stands for a
  /// request of the most urgent priority.
  admit(request: FairAdmissionRequest | string, now: Milliseconds): AdmissionDecision {
    const {
      workspace,
      priority,
      timeLeft = Infinity,
    } = typeof request === "string" ? { workspace: request, priority: 0 } : request;
    const group = this.getClass(toClass(priority));
    const state = group.recordRequest(workspace, now);
    this.capacity.recordRequest(now);
    this.review(now);
    const { limit } = this.capacity;
    const isAdmitted = limit === undefined || this.spend(group, state, now);
    this.onDecision({ priority: group.priority, isAdmitted });
    if (isAdmitted) return { kind: "admitted" };
    this.refusedAt = now;
    const { available = 0, workspaceShare = 0 } = this.shares.get(group.priority) ?? {};
    const freeRate = Math.min(available, workspaceShare) / millisecondsPerSecond;
    return { kind: "refused", retryAfter: state.returns.next(freeRate, timeLeft, now) };
  }

  // A priority that this entry VM has not seen lately has no share yet. Its first requests are like
  // those of a small workspace.
  private spend(group: PriorityClass, state: WorkspaceState, now: Milliseconds): boolean {
    const share = this.shares.get(group.priority);
    return share === undefined || state.keepsTo(share.workspaceShare, now);
  }

  private adjust(now: Milliseconds): void {
    this.adjustedAt = now;
    const wasLimited = this.capacity.limit !== undefined;
    const demands = wasLimited ? this.findDemands(now) : [];
    const reserved = wasLimited ? this.findReserved(demands, now) : 0;
    this.capacity.update(now - this.refusedAt < bindingWindow, reserved, now);
    const { limit } = this.capacity;
    if (limit === undefined) return;
    this.shares = sharePriorities(wasLimited ? demands : this.findDemands(now), limit);
    if (wasLimited) return;
    this.reservation.begin(this.shares.size, now);
    for (const [priority, share] of this.shares) this.getClass(priority).beginLimit(share, now);
  }

  private findReserved(demands: readonly PriorityDemand[], now: Milliseconds): number {
    if (this.capacity.takePersistence(now)) this.reservation.lower(now);
    else if (this.capacity.isCalm(now)) this.reservation.raise(demands.length, now);
    const known = sharePriorities(demands, this.capacity.findKnownRate(now));
    return this.reservation.find(demands, known);
  }

  private findDemands(now: Milliseconds): PriorityDemand[] {
    return [...this.classes.values()]
      .map((group) => ({
        priority: group.priority,
        workspaces: group.getDemands(minimumDemand, now),
      }))
      .filter(({ workspaces }) => workspaces.size > 0)
      .sort((left, right) => left.priority - right.priority);
  }

  private getClass(priority: number): PriorityClass {
    const existing = this.classes.get(priority);
    if (existing !== undefined) return existing;
    const created = new PriorityClass(priority, this.random);
    this.classes.set(priority, created);
    return created;
  }
}

// As engines know priorities, which also bounds their number.
function toClass(priority: number): number {
  return Math.min(lowestPriority, Math.max(0, Math.trunc(priority)));
}
