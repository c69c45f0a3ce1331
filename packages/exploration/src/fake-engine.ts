//! Fake of a model engine in a simulation. It can crash, freeze, lose its caches, announce
//! that it is leaving, and lose a response.
import type { Milliseconds } from "@lovagebend/common";
import { TargetState, type TargetView } from "@lovagebend/membership";
import type {
  CacheTransfer,
  ExportedCache,
  Step,
  StepChannel,
  StepFailure,
  StepOutput,
} from "@lovagebend/pipeline";
import { SequenceTable } from "@lovagebend/stand-ins";
import { Result, type Unit } from "true-myth";
import { FakeProcess, type Simulation } from "./simulation.js";

/// The fault that an engine has when it receives a step.
export type EngineFault =
  "none" | "crashes" | "freezes" | "losesCaches" | "losesResponse" | "leaves";

const detectionTimeout: Milliseconds = 900;
const freezeDuration: Milliseconds = 30_000;
const nominalTokensPerSecond = 1_000;

export class FakeEngine implements StepChannel, CacheTransfer {
  readonly sequenceTable: SequenceTable;
  private readonly process: FakeProcess;
  private isAlive = true;
  private hasLeavingNotice = false;
  private hasHadFault = false;
  private stepCount = 0;

  constructor(
    readonly name: string,
    private readonly simulation: Simulation,
    private readonly caller: FakeProcess,
    private readonly layerRange: { firstLayer: number; endLayer: number; layers: number },
    private readonly chooseFault: (engine: string) => EngineFault,
  ) {
    this.process = new FakeProcess(name);
    this.sequenceTable = new SequenceTable({ ...layerRange, shouldRecordRuns: true });
  }

  get view(): TargetView {
    const liveState = this.hasLeavingNotice ? TargetState.Leaving : TargetState.Serving;
    return {
      name: this.name,
      group: "advice",
      dataCentre: "north-a",
      firstLayer: this.layerRange.firstLayer,
      endLayer: this.layerRange.endLayer,
      tokensPerSecond: nominalTokensPerSecond,
      latency: 1,
      state: this.isAlive ? liveState : TargetState.Down,
      load: {
        queuedTokens: 0,
        openSequences: 0,
        tokensPerSecond: 0,
        leaving: this.hasLeavingNotice,
      },
      reportAge: 0,
      openAnswers: 0,
    };
  }

  /// Whether the engine has had a fault at any time.
  get hadFault(): boolean {
    return this.hasHadFault;
  }

  get isLeaving(): boolean {
    return this.hasLeavingNotice;
  }

  async step(step: Step, signal: AbortSignal): Promise<Result<readonly StepOutput[], StepFailure>> {
    this.stepCount += 1;
    const end = step.from + step.inputs.length;
    this.simulation.record(
      `entry -> ${this.name}: ${step.purpose} ${step.sequence} ${step.from}..${end - 1}`,
    );
    if (!this.isAlive) return this.failStep("connection refused", 1);
    const fault = this.chooseFault(this.name);
    this.applyFault(fault);
    if (fault === "crashes") return this.failStep("connection reset", 1);
    if (fault === "freezes") {
      void this.runAfterFreeze(step);
      return this.failStep("heartbeat timeout", detectionTimeout);
    }
    await this.simulation.delay(this.process, 1 + this.simulation.draw(5));
    const result = this.sequenceTable.run({ id: this.stepCount, ...step }) as {
      outputs?: StepOutput[];
      error?: string;
    };
    if (fault === "losesResponse") return this.repeatStep(step);
    await this.simulation.delay(this.caller, 1 + this.simulation.draw(5));
    if (signal.aborted) return Result.err({ kind: "cancelled" });
    return this.toResult(result);
  }

  closeSequence(sequence: string): void {
    this.sequenceTable.close(sequence);
  }

  async exportCache(sequence: string): Promise<Result<ExportedCache, string>> {
    this.simulation.record(`entry -> ${this.name}: export ${sequence}`);
    await this.simulation.delay(this.caller, 2);
    const exported = this.isAlive ? this.sequenceTable.export(sequence) : undefined;
    return exported === undefined ? Result.err("not available") : Result.ok(exported);
  }

  async importCache(sequence: string, exported: ExportedCache): Promise<Result<Unit, string>> {
    this.simulation.record(
      `entry -> ${this.name}: import ${sequence}, ${exported.positions} positions`,
    );
    await this.simulation.delay(this.caller, 2);
    if (!this.isAlive) return Result.err("not available");
    const { positions, cache } = exported;
    this.sequenceTable.import({ sequence, positions, cache: cache as string[] });
    return Result.ok();
  }

  private applyFault(fault: EngineFault): void {
    if (fault === "none") return;
    this.hasHadFault = true;
    this.simulation.record(`${this.name} ${fault}`);
    if (fault === "crashes") this.isAlive = false;
    if (fault === "freezes") this.simulation.freeze(this.process, freezeDuration);
    if (fault === "losesCaches") this.sequenceTable.clear();
    if (fault === "leaves") this.hasLeavingNotice = true;
  }

  // Stands for the step channel, which repeats a step over a new connection to the same
  // engine.
  private async repeatStep(step: Step): Promise<Result<readonly StepOutput[], StepFailure>> {
    await this.simulation.delay(this.caller, detectionTimeout);
    this.simulation.record(`entry -> ${this.name}: repeat ${step.sequence} ${step.from}`);
    const result = this.sequenceTable.run({ id: this.stepCount, ...step, repeated: true });
    return this.toResult(result);
  }

  private async runAfterFreeze(step: Step): Promise<void> {
    await this.simulation.delay(this.process, 0);
    this.sequenceTable.run({ id: 0, ...step });
  }

  private async failStep(
    reason: string,
    detectionDelay: Milliseconds,
  ): Promise<Result<readonly StepOutput[], StepFailure>> {
    await this.simulation.delay(this.caller, detectionDelay);
    return Result.err({ kind: "lost", reason });
  }

  private toResult(result: {
    outputs?: StepOutput[];
    error?: string;
  }): Result<readonly StepOutput[], StepFailure> {
    if (result.outputs !== undefined) return Result.ok(result.outputs);
    return Result.err({ kind: "refused", reason: result.error ?? "" });
  }
}
