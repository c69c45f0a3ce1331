//! Tracks load, latency, failures and leaving notices of each target, from this entry VM's
//! own calls, from peers and from the platform's list of machines. Derives the immutable
//! view that routing decides on.
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { LoadValue } from "./facts.js";
import { ThroughputMeter } from "./throughput-meter.js";
import { FleetView, TargetState, type LoadReport, type TargetView } from "./fleet-view.js";
import { deriveTargetState } from "./target-state.js";
import { ListedState, type MachineList } from "@lovagebend/platform";
import { TargetKind, type SettingsView, type TargetSettings } from "@lovagebend/settings";

interface TrackedTarget {
  settings: TargetSettings;
  load: LoadReport;
  answeredAt: Milliseconds | undefined;
  latency: Milliseconds;
  failures: number;
  isSuspected: boolean;
  readonly meter: ThroughputMeter;
  ownOpenAnswers: number;
  ownOpenAnswersAtReport: number;
}

interface ListedStatus {
  readonly state: ListedState;
  readonly revision: number;
}

/// A target that the platform's list marked as leaving at `revision` of the list.
export interface LeavingNotice {
  readonly name: string;
  readonly revision: number;
}

const idleLoad: LoadReport = {
  queuedTokens: 0,
  openSequences: 0,
  tokensPerSecond: 0,
  leaving: false,
};
const viewCacheLifetime: Milliseconds = 20;
const maximumReportAge: Milliseconds = 10_000;
const serviceTokensPerSecond = 1_000;

export class FleetTracker {
  private readonly targets = new Map<string, TrackedTarget>();
  private readonly listedStatuses = new Map<string, ListedStatus>();
  private cachedView: { view: FleetView; at: Milliseconds } | undefined;

  constructor(private readonly clock: Clock) {}

  /// Applies the configured targets. The state of a target whose address changed is
  /// discarded.
  configure(view: SettingsView): void {
    for (const [name, known] of this.targets) {
      const configured = view.targets.get(name);
      const hasMoved =
        configured?.host !== known.settings.host || configured.port !== known.settings.port;
      if (hasMoved) this.targets.delete(name);
    }
    for (const [name, settings] of view.targets) {
      const known = this.targets.get(name);
      if (known !== undefined) known.settings = settings;
      else this.targets.set(name, createTrackedTarget(settings));
    }
    this.cachedView = undefined;
  }

  /// Records that the target answered `age` ago. An answer that is not newer than the last
  /// one is ignored.
  recordAnswer(name: string, load: LoadReport, latency: Milliseconds, age: Milliseconds): void {
    const target = this.targets.get(name);
    const at = this.clock.monotonicTime() - age;
    if (target === undefined || at <= (target.answeredAt ?? -Infinity)) return;
    target.answeredAt = at;
    target.load = load;
    target.ownOpenAnswersAtReport = target.ownOpenAnswers;
    target.latency = latency;
    target.failures = 0;
    this.cachedView = undefined;
  }

  /// The results of this entry VM's own probes by target, for publication to peers. A result
  /// is removed when this entry VM stops probing the target.
  readonly probeResults = new Map<string, LoadValue>();

  /// Records a probe result of a peer, whose answer is `age` old. If the peer's calls fail,
  /// the target is suspected and this entry VM probes it directly, since only the peer may be
  /// partitioned from the target.
  recordPeerProbe(name: string, { load, latency, failures }: LoadValue, age: Milliseconds): void {
    const target = this.targets.get(name);
    if (target === undefined) return;
    target.isSuspected = failures > 0;
    if (failures === 0) this.recordAnswer(name, load, latency, age);
  }

  /// Records the outcome of this entry VM's own probe; `undefined` for a failed one.
  recordProbe(
    name: string,
    outcome: { load: LoadReport; latency: Milliseconds } | undefined,
  ): void {
    if (outcome === undefined) this.recordFailure(name);
    else this.recordAnswer(name, outcome.load, outcome.latency, 0);
    const target = this.targets.get(name);
    if (target === undefined) return;
    target.isSuspected = false;
    const { load, latency, failures } = target;
    const age = Math.round(Math.min(this.ageOf(target), maximumReportAge));
    this.probeResults.set(name, { load, latency: Math.round(latency * 10) / 10, failures, age });
  }

  /// Removes the probe result of a target that this entry VM no longer probes.
  removeProbeResult(name: string): void {
    this.probeResults.delete(name);
  }

  /// Records a failed call of this entry VM to the target.
  recordFailure(name: string): void {
    const target = this.targets.get(name);
    if (target === undefined) return;
    target.failures += 1;
    this.cachedView = undefined;
  }

  /// Marks a target that was lost during a request as down until it answers again, by
  /// recording as many failures as the threshold for the state requires.
  markDown(name: string): void {
    this.recordFailure(name);
    this.recordFailure(name);
  }

  /// Records the completion of a step of `tokens` tokens that was sent at `sentAt`.
  recordStep(name: string, tokens: number, sentAt: Milliseconds): void {
    const target = this.targets.get(name);
    target?.meter.recordStep(tokens, sentAt, this.clock.monotonicTime(), target.latency);
  }

  /// Counts an answer or call of this entry VM that started (1) or stopped (-1) using the
  /// target.
  adjustOpenAnswers(name: string, change: 1 | -1): void {
    const target = this.targets.get(name);
    if (target === undefined) return;
    target.ownOpenAnswers = Math.max(0, target.ownOpenAnswers + change);
    if (this.cachedView === undefined) return;
    const view = this.cachedView.view.withTarget(this.viewOf(name, target));
    this.cachedView = { view, at: this.cachedView.at };
  }

  /// Applies the platform's list. For each VM, the latest revision that lists it takes
  /// precedence. A VM that is absent from the list keeps its listed state, so that a list
  /// emptied by an outage does not return a leaving target to service.
  applyMachineList(list: MachineList): void {
    for (const { name, state } of list.machines)
      this.recordListedStatus(name, { state, revision: list.revision });
  }

  /// The targets that the platform's list marks as leaving, for publication to peers.
  get leavingNotices(): LeavingNotice[] {
    return [...this.listedStatuses]
      .filter(([name, { state }]) => state === ListedState.Leaving && this.targets.has(name))
      .map(([name, { revision }]) => ({ name, revision }));
  }

  /// Applies leaving notices received from a peer.
  addLeavingNotices(notices: readonly LeavingNotice[]): void {
    for (const { name, revision } of notices)
      this.recordListedStatus(name, { state: ListedState.Leaving, revision });
  }

  /// The time since the target last answered any entry VM; infinite while the target is
  /// suspected, and 0 for an unknown target.
  timeSinceAnswer(name: string): Milliseconds {
    const target = this.targets.get(name);
    if (target === undefined) return 0;
    return target.isSuspected ? Infinity : this.ageOf(target);
  }

  /// Whether the target finishes its current work and receives no new work.
  isLeaving(name: string): boolean {
    const target = this.targets.get(name);
    return target !== undefined && this.stateOf(name, target) === TargetState.Leaving;
  }

  get view(): FleetView {
    const now = this.clock.monotonicTime();
    if (this.cachedView !== undefined && now - this.cachedView.at < viewCacheLifetime)
      return this.cachedView.view;
    const targets = [...this.targets].map(([name, target]) => this.viewOf(name, target));
    this.cachedView = { view: FleetView.of(targets), at: now };
    return this.cachedView.view;
  }

  private recordListedStatus(name: string, status: ListedStatus): void {
    if ((this.listedStatuses.get(name)?.revision ?? -1) > status.revision) return;
    this.listedStatuses.set(name, status);
    this.cachedView = undefined;
  }

  private viewOf(name: string, target: TrackedTarget): TargetView {
    const { settings, load, latency } = target;
    const isEngine = settings.kind === TargetKind.Engine;
    return {
      name,
      group: isEngine ? settings.pipeline : settings.service,
      dataCentre: settings.dataCentre,
      firstLayer: isEngine ? settings.firstLayer : 0,
      endLayer: isEngine ? settings.endLayer : 1,
      tokensPerSecond: Math.min(
        configuredTokensPerSecond(settings),
        target.meter.tokensPerSecond ?? Infinity,
      ),
      latency,
      state: this.stateOf(name, target),
      load,
      reportAge: Math.min(this.ageOf(target), maximumReportAge),
      openAnswers: Math.max(
        target.ownOpenAnswers,
        load.openSequences + target.ownOpenAnswers - target.ownOpenAnswersAtReport,
      ),
    };
  }

  private stateOf(name: string, target: TrackedTarget): TargetState {
    const age = this.ageOf(target);
    const derivedState = deriveTargetState({
      hasOwnLeavingNotice: target.load.leaving,
      listedState: this.listedStatuses.get(name)?.state,
      failuresSinceAnswer: target.failures,
    });
    return derivedState === TargetState.Serving && age > maximumReportAge
      ? TargetState.Down
      : derivedState;
  }

  private ageOf(target: TrackedTarget): Milliseconds {
    return target.answeredAt === undefined
      ? Infinity
      : this.clock.monotonicTime() - target.answeredAt;
  }
}

function configuredTokensPerSecond(settings: TargetSettings): number {
  return settings.kind === TargetKind.Engine ? settings.tokensPerSecond : serviceTokensPerSecond;
}

function createTrackedTarget(settings: TargetSettings): TrackedTarget {
  return {
    settings,
    load: idleLoad,
    answeredAt: undefined,
    latency: 1,
    failures: 0,
    isSuspected: false,
    meter: new ThroughputMeter(),
    ownOpenAnswers: 0,
    ownOpenAnswersAtReport: 0,
  };
}
