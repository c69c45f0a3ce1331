//! What an entry VM knows of the targets at one moment: an immutable value that
//! routing decisions are made from.
import type { Milliseconds } from "@lovagebend/common";
import { z } from "zod";

/// `Serving` targets get new work; `Leaving` ones finish what they have; `Down`
/// ones get nothing.
export enum TargetState {
  Serving = "serving",
  Leaving = "leaving",
  Down = "down",
}

/// What a target said of itself. `queuedTokens` is work waiting on it; `openSequences`
/// how many it holds; `tokensPerSecond` what it did lately. `leaving` is its own notice.
export type LoadReport = z.output<typeof loadReport>;
export const loadReport = z.object({
  queuedTokens: z.number().min(0),
  openSequences: z.number().min(0),
  tokensPerSecond: z.number().min(0),
  leaving: z.boolean(),
});

/// A target as routing sees it. Layers run from `firstLayer` up to, not
/// including, `endLayer`. `latency` is the round trip of a probe;
/// `tokensPerSecond` what the target does at most, as learned or else as set;
/// `openAnswers` how many answers cross it, this entry VM's own up to the moment;
/// `reportAge` how old `load` is.
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

/// The targets by name. `group` of a target is its pipeline or service.
export class FleetView {
  static readonly empty = new FleetView(new Map());

  private constructor(private readonly targets: ReadonlyMap<string, TargetView>) {}

  static of(targets: readonly TargetView[]): FleetView {
    return new FleetView(new Map(targets.map((target) => [target.name, target])));
  }

  get(name: string): TargetView | undefined {
    return this.targets.get(name);
  }

  /// A view in which `target` replaces the one of the same name.
  with(target: TargetView): FleetView {
    return new FleetView(new Map([...this.targets, [target.name, target]]));
  }

  /// All targets of a pipeline or service.
  group(name: string): TargetView[] {
    return [...this.targets.values()].filter((target) => target.group === name);
  }

  /// The targets of a group that get new work.
  serving(group: string): TargetView[] {
    return this.group(group).filter((target) => target.state === TargetState.Serving);
  }

  all(): TargetView[] {
    return [...this.targets.values()];
  }
}
