//! One admission queue for each pipeline and service, kept at the size that the
//! targets, the other entry VMs and the time between tokens allow.
import type { Clock, Milliseconds } from "@lovagebend/common";
import { AdmissionQueue, DemandMeter, nextCapacity, shareOut } from "@lovagebend/limits";
import { largestFlow } from "@lovagebend/routing";
import { TargetKind, Weighting, type SettingsView } from "@lovagebend/settings";
import type { FleetTracker } from "@lovagebend/membership";
import type { Neighbourhood } from "@lovagebend/membership";

interface Group {
  readonly queue: AdmissionQueue;
  readonly demand: DemandMeter;
  capacity: number;
  tokens: number;
  tokenMilliseconds: Milliseconds;
}

/// A queue as operators see it: its length, the age of its oldest request and the
/// work that may run at once.
export interface QueueStatus {
  readonly group: string;
  readonly length: number;
  readonly age: Milliseconds;
  readonly running: number;
  readonly capacity: number;
}

const wantedTokenInterval: Milliseconds = 80;
const startSeconds = 8;
const floorSeconds = 0.5;
const recoveryReserve = 0.85;
const serviceConcurrency = 64;

export class Admissions {
  private readonly groups = new Map<string, Group>();

  constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetTracker,
    private readonly neighbourhood: Neighbourhood,
  ) {}

  /// The queue of a pipeline or service.
  queue(group: string, view: SettingsView): AdmissionQueue {
    return this.of(group, view).queue;
  }

  /// Counts work that a workspace asked for.
  ask(group: string, workspace: string, tokens: number, view: SettingsView): void {
    this.of(group, view).demand.ask(workspace, tokens);
  }

  /// Counts a token and the time since the one before it.
  tokenCame(group: string, interval: Milliseconds): void {
    const known = this.groups.get(group);
    if (known === undefined) return;
    known.tokens += 1;
    known.tokenMilliseconds += interval;
  }

  /// Adapts all queues; called about once a second. Returns the demand by group and
  /// workspace, for the other entry VMs.
  adapt(view: SettingsView): Record<string, Record<string, number>> {
    const demand: Record<string, Record<string, number>> = {};
    for (const [name, group] of this.groups) {
      demand[name] = Object.fromEntries(group.demand.rotate(this.clock.monotonic()));
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

  private of(name: string, view: SettingsView): Group {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const capacity = this.flow(name, view) * startSeconds;
    const weightOf = (workspace: string): number => view.workspaces.get(workspace)?.weight ?? 1;
    const own = capacity / this.neighbourhood.liveCount();
    const wait = view.limits.queueMilliseconds;
    const group: Group = {
      queue: new AdmissionQueue(this.clock, own, wait, weightOf),
      demand: new DemandMeter(this.clock.monotonic()),
      capacity,
      tokens: 0,
      tokenMilliseconds: 0,
    };
    this.groups.set(name, group);
    return group;
  }

  private adaptGroup(name: string, group: Group, view: SettingsView): void {
    const flow = this.flow(name, view);
    group.capacity = nextCapacity({
      tokenInterval: group.tokens === 0 ? undefined : group.tokenMilliseconds / group.tokens,
      wantedInterval: wantedTokenInterval,
      waiting: group.queue.status.length > 0,
      capacity: group.capacity,
      floor: flow * floorSeconds,
    });
    group.tokens = 0;
    group.tokenMilliseconds = 0;
    const weights = new Map(
      [...view.workspaces].map(([workspace, { weight }]) => [workspace, weight]),
    );
    const demands = this.neighbourhood.demands(name);
    const shares = shareOut(this.neighbourhood.self, demands, weights, flow);
    const granted = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const asked = demands.reduce((sum, { tokensPerSecond }) => sum + tokensPerSecond, 0);
    // What nobody asks for is open to whoever comes, an equal part at each entry VM.
    const spare = Math.max(0, flow - asked) / this.neighbourhood.liveCount();
    const part = flow === 0 ? 1 : Math.min(1, (granted + spare) / flow);
    group.queue.configure(
      group.capacity * part,
      view.limits.queueMilliseconds,
      (workspace) => shares.get(workspace) ?? weights.get(workspace) ?? 1,
    );
  }

  /// The bound of a pipeline in tokens a second; a service's in requests at once.
  private flow(name: string, view: SettingsView): number {
    const serving = this.fleet.view.serving(name);
    const pipeline = view.pipelines.get(name);
    if (pipeline === undefined) {
      const replicas = [...view.targets.values()].filter(
        (target) => target.kind === TargetKind.Service && target.service === name,
      );
      return replicas.length * serviceConcurrency;
    }
    const bound = largestFlow(serving, pipeline.layers).tokensPerSecond;
    return pipeline.weighting === Weighting.Recovery ? bound * recoveryReserve : bound;
  }
}
