//! Admission control: one admission queue for each group, a pipeline or a service. The
//! capacity of each queue follows the throughput of the targets, the share of this entry VM
//! and the interval between tokens.
import type { Clock, Milliseconds } from "@lovagebend/common";
import { AdmissionQueue, DemandMeter, adjustCapacity, allocateCapacity } from "@lovagebend/limits";
import { computeMaximumFlow } from "@lovagebend/routing";
import { TargetKind, Weighting, type SettingsView } from "@lovagebend/settings";
import type { FleetTracker } from "@lovagebend/membership";
import type { ClusterMembership } from "@lovagebend/membership";

interface AdmissionGroup {
  readonly queue: AdmissionQueue;
  readonly demand: DemandMeter;
  capacity: number;
  intervalCount: number;
  intervalSum: Milliseconds;
}

/// The status of a queue for operators: its length, the age of its oldest request, and the
/// work that runs and that may run at once.
export interface QueueStatus {
  readonly group: string;
  readonly length: number;
  readonly age: Milliseconds;
  readonly running: number;
  readonly capacity: number;
}

/// The interval between tokens that the capacity of a queue is adapted to.
const desiredTokenInterval: Milliseconds = 80;
/// The initial and the minimum capacity of a queue, as multiples of its bound: for a pipeline,
/// seconds of its throughput.
const initialCapacitySeconds = 8;
const minimumCapacitySeconds = 0.5;
/// The part of its throughput that a pipeline with `Weighting.Recovery` uses, which keeps a
/// reserve for recovery.
const recoveryThroughputFactor = 0.85;
const maximumRequestsPerReplica = 64;

export class AdmissionController {
  private readonly groups = new Map<string, AdmissionGroup>();

  constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetTracker,
    private readonly membership: ClusterMembership,
  ) {}

  /// The queue of a group. It is created on first use.
  queue(group: string, view: SettingsView): AdmissionQueue {
    return this.getOrCreateGroup(group, view).queue;
  }

  /// Records work that a workspace requested, in tokens, or in requests for a service.
  recordDemand(group: string, workspace: string, tokens: number, view: SettingsView): void {
    this.getOrCreateGroup(group, view).demand.recordRequest(workspace, tokens);
  }

  /// Records the interval between a token and the one before it.
  recordTokenInterval(name: string, interval: Milliseconds): void {
    const group = this.groups.get(name);
    if (group === undefined) return;
    group.intervalCount += 1;
    group.intervalSum += interval;
  }

  /// Adapts the capacity of all queues; to be called about once a second. Returns the demand
  /// by group and workspace, for publication to the other entry VMs.
  adaptCapacities(view: SettingsView): Record<string, Record<string, number>> {
    const demand: Record<string, Record<string, number>> = {};
    for (const [name, group] of this.groups) {
      demand[name] = Object.fromEntries(group.demand.updateRates(this.clock.monotonicTime()));
      this.adaptGroup(name, group, view);
    }
    return demand;
  }

  get status(): QueueStatus[] {
    return [...this.groups].map(([group, { queue, capacity }]) => ({
      group,
      capacity,
      ...queue.status,
    }));
  }

  private getOrCreateGroup(name: string, view: SettingsView): AdmissionGroup {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const capacity = this.computeBound(name, view) * initialCapacitySeconds;
    const weightOf = (workspace: string): number => view.workspaces.get(workspace)?.weight ?? 1;
    const initialCapacity = capacity / this.membership.liveEntryVmCount();
    const wait = view.limits.queueMilliseconds;
    const group: AdmissionGroup = {
      queue: new AdmissionQueue(this.clock, initialCapacity, wait, weightOf),
      demand: new DemandMeter(this.clock.monotonicTime()),
      capacity,
      intervalCount: 0,
      intervalSum: 0,
    };
    this.groups.set(name, group);
    return group;
  }

  private adaptGroup(name: string, group: AdmissionGroup, view: SettingsView): void {
    const bound = this.computeBound(name, view);
    group.capacity = adjustCapacity({
      tokenInterval:
        group.intervalCount === 0 ? undefined : group.intervalSum / group.intervalCount,
      desiredTokenInterval,
      hasWaitingRequests: group.queue.status.length > 0,
      capacity: group.capacity,
      minimumCapacity: bound * minimumCapacitySeconds,
    });
    group.intervalCount = 0;
    group.intervalSum = 0;
    const weights = new Map(
      [...view.workspaces].map(([workspace, { weight }]) => [workspace, weight]),
    );
    const demands = this.membership.demands(name);
    const shares = allocateCapacity(this.membership.self, demands, weights, bound);
    const granted = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const totalDemand = demands.reduce((sum, { tokensPerSecond }) => sum + tokensPerSecond, 0);
    // Throughput without demand is divided equally between the live entry VMs, so that any
    // workspace can use it.
    const spare = Math.max(0, bound - totalDemand) / this.membership.liveEntryVmCount();
    const fraction = bound === 0 ? 1 : Math.min(1, (granted + spare) / bound);
    group.queue.configure(
      group.capacity * fraction,
      view.limits.queueMilliseconds,
      (workspace) => shares.get(workspace) ?? weights.get(workspace) ?? 1,
    );
  }

  /// The throughput bound of a pipeline in tokens per second, or the bound of a service in
  /// concurrent requests.
  private computeBound(name: string, view: SettingsView): number {
    const servingTargets = this.fleet.view.getServingTargets(name);
    const pipeline = view.pipelines.get(name);
    if (pipeline === undefined) {
      const replicas = [...view.targets.values()].filter(
        (target) => target.kind === TargetKind.Service && target.service === name,
      );
      return replicas.length * maximumRequestsPerReplica;
    }
    const bound = computeMaximumFlow(servingTargets, pipeline.layers).tokensPerSecond;
    return pipeline.weighting === Weighting.Recovery ? bound * recoveryThroughputFactor : bound;
  }
}
