//! A model engine in a fake world: it can die, freeze, forget, leave, and lose answers.
import type { Milliseconds } from "@lovagebend/common";
import { TargetState, type TargetView } from "@lovagebend/membership";
import type {
  CacheMover,
  ExportedCache,
  Step,
  StepChannel,
  StepFailure,
  StepOutput,
} from "@lovagebend/pipeline";
import { SequenceTable } from "@lovagebend/stand-ins";
import { Result, type Unit } from "true-myth";
import { FakeProcess, type Simulation } from "./world.js";

/// What happens to an engine when a step reaches it.
export type EngineFault = "none" | "dies" | "freezes" | "forgets" | "answerLost" | "leaves";

const noticeLimit: Milliseconds = 900;
const freezeDuration: Milliseconds = 30_000;
const fullSpeed = 1_000;

export class FakeEngine implements StepChannel, CacheMover {
  readonly table: SequenceTable;
  private readonly process: FakeProcess;
  private alive = true;
  private leaving = false;
  private struck = false;
  private steps = 0;

  constructor(
    readonly name: string,
    private readonly simulation: Simulation,
    private readonly caller: FakeProcess,
    private readonly range: { firstLayer: number; endLayer: number; layers: number },
    private readonly nextFault: (engine: string) => EngineFault,
  ) {
    this.process = new FakeProcess(name);
    this.table = new SequenceTable({ ...range, keepsRecord: true });
  }

  get view(): TargetView {
    const state = this.leaving ? TargetState.Leaving : TargetState.Serving;
    return {
      name: this.name,
      group: "advice",
      dataCentre: "north-a",
      firstLayer: this.range.firstLayer,
      endLayer: this.range.endLayer,
      tokensPerSecond: fullSpeed,
      latency: 1,
      state: this.alive ? state : TargetState.Down,
      load: { queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving: this.leaving },
      reportAge: 0,
      openAnswers: 0,
    };
  }

  /// Whether anything ever happened to it.
  get wasStruck(): boolean {
    return this.struck;
  }

  get isLeaving(): boolean {
    return this.leaving;
  }

  async step(step: Step, signal: AbortSignal): Promise<Result<readonly StepOutput[], StepFailure>> {
    this.steps += 1;
    const end = step.from + step.inputs.length;
    this.simulation.record(
      `entry -> ${this.name}: ${step.purpose} ${step.sequence} ${step.from}..${end - 1}`,
    );
    if (!this.alive) return this.lost("connection refused", 1);
    const fault = this.nextFault(this.name);
    this.strike(fault);
    if (fault === "dies") return this.lost("connection reset", 1);
    if (fault === "freezes") {
      void this.runWhenAwake(step);
      return this.lost("no sign of life", noticeLimit);
    }
    await this.simulation.delay(this.process, 1 + this.simulation.draw(5));
    const result = this.table.run({ id: this.steps, ...step }) as {
      outputs?: StepOutput[];
      error?: string;
    };
    if (fault === "answerLost") return this.repeat(step);
    await this.simulation.delay(this.caller, 1 + this.simulation.draw(5));
    if (signal.aborted) return Result.err({ kind: "cancelled" });
    return this.resultOf(result);
  }

  closeSequence(sequence: string): void {
    this.table.close(sequence);
  }

  async exportCache(sequence: string): Promise<Result<ExportedCache, string>> {
    this.simulation.record(`entry -> ${this.name}: export ${sequence}`);
    await this.simulation.delay(this.caller, 2);
    const exported = this.alive ? this.table.export(sequence) : undefined;
    return exported === undefined ? Result.err("gone") : Result.ok(exported);
  }

  async importCache(sequence: string, exported: ExportedCache): Promise<Result<Unit, string>> {
    this.simulation.record(
      `entry -> ${this.name}: import ${sequence}, ${exported.positions} positions`,
    );
    await this.simulation.delay(this.caller, 2);
    if (!this.alive) return Result.err("gone");
    const { positions, cache } = exported;
    this.table.import({ sequence, positions, cache: cache as string[] });
    return Result.ok();
  }

  private strike(fault: EngineFault): void {
    if (fault === "none") return;
    this.struck = true;
    this.simulation.record(`${this.name} ${fault}`);
    if (fault === "dies") this.alive = false;
    if (fault === "freezes") this.simulation.freeze(this.process, freezeDuration);
    if (fault === "forgets") this.table.forgetAll();
    if (fault === "leaves") this.leaving = true;
  }

  // The step channel sends a step again over a fresh connection to the same engine.
  private async repeat(step: Step): Promise<Result<readonly StepOutput[], StepFailure>> {
    await this.simulation.delay(this.caller, noticeLimit);
    this.simulation.record(`entry -> ${this.name}: again ${step.sequence} ${step.from}`);
    const result = this.table.run({ id: this.steps, ...step, repeated: true });
    return this.resultOf(result);
  }

  private async runWhenAwake(step: Step): Promise<void> {
    await this.simulation.delay(this.process, 0);
    this.table.run({ id: 0, ...step });
  }

  private async lost(
    reason: string,
    notice: Milliseconds,
  ): Promise<Result<readonly StepOutput[], StepFailure>> {
    await this.simulation.delay(this.caller, notice);
    return Result.err({ kind: "lost", reason });
  }

  private resultOf(result: {
    outputs?: StepOutput[];
    error?: string;
  }): Result<readonly StepOutput[], StepFailure> {
    if (result.outputs !== undefined) return Result.ok(result.outputs);
    return Result.err({ kind: "refused", reason: result.error ?? "" });
  }
}
