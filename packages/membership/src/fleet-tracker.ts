//! What this entry VM knows of each target, from its own calls, from peers and from
//! the platform's list, and the view that routing gets of it.
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { LoadValue } from "./facts.js";
import { StepMeter } from "./step-meter.js";
import { FleetView, TargetState, type LoadReport, type TargetView } from "./fleet-view.js";
import { judgeTarget } from "./target-evidence.js";
import { ListedState, type MachineList } from "@lovagebend/platform";
import { TargetKind, type SettingsView, type TargetSettings } from "@lovagebend/settings";

interface Tracked {
  settings: TargetSettings;
  load: LoadReport;
  answeredAt: Milliseconds | undefined;
  latency: Milliseconds;
  failures: number;
  isDoubtful: boolean;
  readonly meter: StepMeter;
  ownOpen: number;
  ownOpenAtReport: number;
}

interface ListedMark {
  readonly state: ListedState;
  readonly revision: number;
}

/// A target that the platform's list called leaving at a revision of the list.
export interface LeavingMark {
  readonly name: string;
  readonly revision: number;
}

const atRest: LoadReport = {
  queuedTokens: 0,
  openSequences: 0,
  tokensPerSecond: 0,
  leaving: false,
};
const viewLifetime: Milliseconds = 20;
const staleLimit: Milliseconds = 10_000;
const serviceRate = 1_000;

export class FleetTracker {
  private readonly tracked = new Map<string, Tracked>();
  private readonly listed = new Map<string, ListedMark>();
  private cached: { view: FleetView; at: Milliseconds } | undefined;

  constructor(private readonly clock: Clock) {}

  /// Takes on the targets in force. A target whose address changed starts afresh.
  configure(view: SettingsView): void {
    for (const [name, known] of this.tracked) {
      const wanted = view.targets.get(name);
      const moved = wanted?.host !== known.settings.host || wanted.port !== known.settings.port;
      if (moved) this.tracked.delete(name);
    }
    for (const [name, settings] of view.targets) {
      const known = this.tracked.get(name);
      if (known !== undefined) known.settings = settings;
      else this.tracked.set(name, untried(settings));
    }
    this.cached = undefined;
  }

  /// The target answered `age` ago. An older answer than the last one changes nothing.
  answered(name: string, load: LoadReport, latency: Milliseconds, age: Milliseconds): void {
    const target = this.tracked.get(name);
    const at = this.clock.monotonic() - age;
    if (target === undefined || at <= (target.answeredAt ?? -Infinity)) return;
    target.answeredAt = at;
    target.load = load;
    target.ownOpenAtReport = target.ownOpen;
    target.latency = latency;
    target.failures = 0;
    this.cached = undefined;
  }

  /// What this entry VM learned by probing the target itself, for peers. Kept until
  /// another entry VM's news of the target is fresher.
  readonly probed = new Map<string, LoadValue>();

  /// Takes in what a target's prober told, `age` ago. Where its calls fail this entry VM
  /// looks for itself, since the prober may be cut off from the target.
  heard(name: string, { load, latency, failures }: LoadValue, age: Milliseconds): void {
    const target = this.tracked.get(name);
    if (target === undefined) return;
    target.isDoubtful = failures > 0;
    if (failures === 0) this.answered(name, load, latency, age);
  }

  /// Notes the outcome of a probe of this entry VM's own.
  noteProbe(name: string, outcome: { load: LoadReport; latency: Milliseconds } | undefined): void {
    if (outcome === undefined) this.failed(name);
    else this.answered(name, outcome.load, outcome.latency, 0);
    const target = this.tracked.get(name);
    if (target === undefined) return;
    target.isDoubtful = false;
    const { load, latency, failures } = target;
    const age = Math.round(Math.min(this.ageOf(target), staleLimit));
    this.probed.set(name, { load, latency: Math.round(latency * 10) / 10, failures, age });
  }

  /// This entry VM no longer probes the target.
  forgetProbe(name: string): void {
    this.probed.delete(name);
  }

  /// A call of this entry VM's own to the target failed.
  failed(name: string): void {
    const target = this.tracked.get(name);
    if (target === undefined) return;
    target.failures += 1;
    this.cached = undefined;
  }

  /// The target was lost in the middle of work: it is down until it answers again.
  lost(name: string): void {
    this.failed(name);
    this.failed(name);
  }

  /// A step of `tokens` tokens, sent to the target at `sentAt`, came back.
  noteStep(name: string, tokens: number, sentAt: Milliseconds): void {
    const target = this.tracked.get(name);
    target?.meter.done(tokens, sentAt, this.clock.monotonic(), target.latency);
  }

  /// An answer or call of this entry VM's began (1) or ended (-1) to use the target.
  noteOpen(name: string, change: 1 | -1): void {
    const target = this.tracked.get(name);
    if (target === undefined) return;
    target.ownOpen = Math.max(0, target.ownOpen + change);
    if (this.cached === undefined) return;
    const view = this.cached.view.with(this.viewOf(name, target));
    this.cached = { view, at: this.cached.at };
  }

  /// Takes in the platform's list. What an earlier revision says of a VM gives way to
  /// what a later one says of it; a VM that is absent keeps its mark, so that a list
  /// emptied by an outage brings no leaving target back.
  list(list: MachineList): void {
    for (const { name, state } of list.machines)
      this.mark(name, { state, revision: list.revision });
  }

  /// The targets that the platform's list calls leaving, for peers.
  get leavingMarks(): LeavingMark[] {
    return [...this.listed]
      .filter(([name, { state }]) => state === ListedState.Leaving && this.tracked.has(name))
      .map(([name, { revision }]) => ({ name, revision }));
  }

  /// Takes in a peer's word that targets are leaving.
  addLeaving(marks: readonly LeavingMark[]): void {
    for (const { name, revision } of marks)
      this.mark(name, { state: ListedState.Leaving, revision });
  }

  /// How long ago the target last answered anybody; infinite where its prober's calls
  /// fail.
  silence(name: string): Milliseconds {
    const target = this.tracked.get(name);
    if (target === undefined) return 0;
    return target.isDoubtful ? Infinity : this.ageOf(target);
  }

  /// Whether the target finishes what it has and gets nothing new.
  isLeaving(name: string): boolean {
    const target = this.tracked.get(name);
    return target !== undefined && this.stateOf(name, target) === TargetState.Leaving;
  }

  get view(): FleetView {
    const now = this.clock.monotonic();
    if (this.cached !== undefined && now - this.cached.at < viewLifetime) return this.cached.view;
    const targets = [...this.tracked].map(([name, target]) => this.viewOf(name, target));
    this.cached = { view: FleetView.of(targets), at: now };
    return this.cached.view;
  }

  private mark(name: string, mark: ListedMark): void {
    if ((this.listed.get(name)?.revision ?? -1) > mark.revision) return;
    this.listed.set(name, mark);
    this.cached = undefined;
  }

  private viewOf(name: string, target: Tracked): TargetView {
    const { settings, load, latency } = target;
    const isEngine = settings.kind === TargetKind.Engine;
    return {
      name,
      group: isEngine ? settings.pipeline : settings.service,
      dataCentre: settings.dataCentre,
      firstLayer: isEngine ? settings.firstLayer : 0,
      endLayer: isEngine ? settings.endLayer : 1,
      tokensPerSecond: Math.min(rateOf(settings), target.meter.tokensPerSecond ?? Infinity),
      latency,
      state: this.stateOf(name, target),
      load,
      reportAge: Math.min(this.ageOf(target), staleLimit),
      openAnswers: Math.max(
        target.ownOpen,
        load.openSequences + target.ownOpen - target.ownOpenAtReport,
      ),
    };
  }

  private stateOf(name: string, target: Tracked): TargetState {
    const age = this.ageOf(target);
    const judged = judgeTarget({
      ownNotice: target.load.leaving,
      listed: this.listed.get(name)?.state,
      failuresSince: target.failures,
    });
    return judged === TargetState.Serving && age > staleLimit ? TargetState.Down : judged;
  }

  private ageOf(target: Tracked): Milliseconds {
    return target.answeredAt === undefined ? Infinity : this.clock.monotonic() - target.answeredAt;
  }
}

function rateOf(settings: TargetSettings): number {
  return settings.kind === TargetKind.Engine ? settings.tokensPerSecond : serviceRate;
}

function untried(settings: TargetSettings): Tracked {
  return {
    settings,
    load: atRest,
    answeredAt: undefined,
    latency: 1,
    failures: 0,
    isDoubtful: false,
    meter: new StepMeter(),
    ownOpen: 0,
    ownOpenAtReport: 0,
  };
}
