//! An immutable snapshot of the targets as one entry VM sees them, on which routing
//! decisions are based.
import type { Milliseconds } from "@lovagebend/common";
import { z } from "zod";

/// `Serving` targets receive new work; `Leaving` targets only finish their current work;
/// `Down` targets receive nothing.
export enum TargetState {
  Serving = "serving",
  Leaving = "leaving",
  Down = "down",
}

/// The load that a target reports. `queuedTokens` counts the tokens that wait for processing,
/// `openSequences` the sequences that it holds; `tokensPerSecond` is its recent throughput.
/// `leaving` is the target's own leaving notice.
export type LoadReport = z.output<typeof loadReportSchema>;
export const loadReportSchema = z.object({
  queuedTokens: z.number().min(0),
  openSequences: z.number().min(0),
  tokensPerSecond: z.number().min(0),
  leaving: z.boolean(),
});

/// A target as routing sees it. Layers range from `firstLayer` up to, not including,
/// `endLayer`. `latency` is the round-trip time of a probe. `tokensPerSecond` is the maximum
/// throughput: the lower of the configured and the measured one. `openAnswers` counts the
/// answers that use the target; this entry VM's own are counted up to the present. `reportAge`
/// is the age of `load`.
export interface TargetView {
  readonly name: string;
  readonly group: string;
  readonly dataCentre: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly tokensPerSecond: number;
  readonly latency: Milliseconds;
  readonly state: TargetState;
  readonly load: LoadReport;
  readonly reportAge: Milliseconds;
  readonly openAnswers: number;
}

/// The targets by name. The group of a target is its pipeline or service.
export class FleetView {
  static readonly empty = new FleetView(new Map());

  private constructor(private readonly targets: ReadonlyMap<string, TargetView>) {}

  static of(targets: readonly TargetView[]): FleetView {
    return new FleetView(new Map(targets.map((target) => [target.name, target])));
  }

  get(name: string): TargetView | undefined {
    return this.targets.get(name);
  }

  /// A copy of the view in which `target` replaces the target of the same name.
  withTarget(target: TargetView): FleetView {
    return new FleetView(new Map([...this.targets, [target.name, target]]));
  }

  /// All targets of a pipeline or service.
  getTargetsOfGroup(name: string): TargetView[] {
    return [...this.targets.values()].filter((target) => target.group === name);
  }

  /// The targets of a group that receive new work.
  getServingTargets(group: string): TargetView[] {
    return this.getTargetsOfGroup(group).filter((target) => target.state === TargetState.Serving);
  }

  getAllTargets(): TargetView[] {
    return [...this.targets.values()];
  }
}
