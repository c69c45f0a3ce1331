//! One run of an answer: its stages, their replacement, and the rebuilding of caches.
import { ErrorKind, RouterError, RunState, type Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";
import { choosePath, type Path } from "@lovagebend/routing";
import { Result, type Unit } from "true-myth";
import type { AnswerOptions, AnswerRequest } from "./answer.js";
import type { StepFailure } from "./engine-channel.js";
import { Purpose, type OutputToken, type StepOutput } from "./engine-protocol.js";

const prefillChunk = 256;
const mostReplacements = 16;
/// How long an answer waits for a target when no path is left, and how often it
/// looks.
const pathPatience: Milliseconds = 5_000;
const pathPause: Milliseconds = 100;

/// A stage of the path in use. `cached` positions are in the cache of `sequence`.
interface Stage {
  readonly target: TargetView;
  readonly sequence: string;
  cached: number;
}

/// The task's state while it carries an answer. Each method but `close` throws a
/// `RouterError` when the answer cannot go on.
export class AnswerRun {
  private stages: Stage[] = [];
  private readonly lostTargets = new Set<string>();
  private readonly refusedTargets = new Set<string>();
  private sequences = 0;
  private replacements = 0;

  constructor(
    private readonly request: AnswerRequest,
    private readonly options: AnswerOptions,
    private readonly signal: AbortSignal,
  ) {}

  choose(): void {
    const path = this.findPath(0, this.request.layers);
    if (path.isErr) throw this.noPath(path.error.layer);
    this.stages = path.value.targets.map((target) => this.stage(target));
  }

  /// The token that follows `tokens`, of which those before `from` have been run.
  async next(tokens: readonly number[], from: number): Promise<OutputToken> {
    await this.moveFromLeaving(from);
    let last: StepOutput | undefined;
    for (let start = from; start < tokens.length; start += prefillChunk) {
      const end = Math.min(tokens.length, start + prefillChunk);
      last = await this.forward(tokens, start, end);
    }
    if (typeof last !== "object") throw this.failure("the last stage gave no token");
    return last;
  }

  close(): void {
    for (const stage of this.stages) this.closeStage(stage);
  }

  // Runs positions `start` to `end` through all stages. When a stage is replaced,
  // its inputs are still at hand here, so the stages before it do not run again.
  private async forward(
    tokens: readonly number[],
    start: number,
    end: number,
  ): Promise<StepOutput | undefined> {
    let inputs: readonly StepOutput[] | readonly number[] = tokens.slice(start, end);
    for (let index = 0; index < this.stages.length;) {
      const stage = this.stageAt(index);
      const outcome = await this.runStage(index, tokens, start, inputs);
      if (outcome.isOk) {
        stage.cached = end;
        inputs = outcome.value;
        index += 1;
        continue;
      }
      const failedIndex = this.stages.indexOf(outcome.error.stage);
      const changedFrom = await this.replace(failedIndex, outcome.error.failure, start);
      if (changedFrom >= index) continue;
      // A stage before this one is new, so the inputs at hand are another stage's. The
      // stages that have run this step already give its outputs again.
      inputs = tokens.slice(start, end);
      index = 0;
    }
    return inputs.at(-1) as StepOutput | undefined;
  }

  private async runStage(
    index: number,
    tokens: readonly number[],
    start: number,
    inputs: readonly (StepOutput | number)[],
  ): Promise<Result<readonly StepOutput[], LostStage>> {
    const stage = this.stageAt(index);
    if (stage.cached < start) {
      const rebuilt = await this.rebuild(index, tokens.slice(0, start));
      if (rebuilt.isErr) return Result.err(rebuilt.error);
    }
    return this.step(stage, stage.sequence, Purpose.Answer, start, inputs);
  }

  // Rebuilds the cache of a replaced stage: the earlier positions run again through
  // throw-away sequences on the stages before it, as recomputation.
  private async rebuild(
    index: number,
    tokens: readonly number[],
  ): Promise<Result<Unit, LostStage>> {
    const upstream = this.stages.slice(0, index);
    const shadows = upstream.map(() => this.nextSequence());
    const stage = this.stageAt(index);
    try {
      const held = stage.cached;
      for (let start = held; start < tokens.length; start += prefillChunk) {
        // Throw-away sequences begin at position 0 even if the stage holds some.
        const from = start === held ? 0 : start;
        const end = Math.min(tokens.length, start + prefillChunk);
        let values: readonly (StepOutput | number)[] = tokens.slice(from, end);
        for (const [place, before] of upstream.entries()) {
          const sequence = shadows[place] ?? "";
          const outcome = await this.step(before, sequence, Purpose.Recompute, from, values);
          if (outcome.isErr) return Result.err(outcome.error);
          values = outcome.value;
        }
        const wanted = values.slice(start - from);
        const outcome = await this.step(stage, stage.sequence, Purpose.Recompute, start, wanted);
        if (outcome.isErr) return Result.err(outcome.error);
        stage.cached = end;
      }
      return Result.ok();
    } finally {
      upstream.forEach((before, place) => {
        this.options.channel(before.target.name)?.closeSequence(shadows[place] ?? "");
      });
    }
  }

  private async step(
    stage: Stage,
    sequence: string,
    purpose: Purpose,
    from: number,
    inputs: readonly (StepOutput | number)[],
  ): Promise<Result<readonly StepOutput[], LostStage>> {
    const channel = this.options.channel(stage.target.name);
    if (channel === undefined) {
      return Result.err({ stage, failure: { kind: "lost", reason: "no longer in the settings" } });
    }
    const message = {
      sequence,
      purpose,
      priority: this.request.priority,
      ...(from === 0 ? { prefix: this.request.prefixKeys } : {}),
      from,
      inputs: inputs as readonly (number | string)[],
    };
    const sentAt = this.options.clock.monotonic();
    const outcome = await channel.step(message, this.signal);
    if (outcome.isOk) this.options.noteStep(stage.target.name, inputs.length, sentAt);
    return outcome.mapErr((failure) => ({ stage, failure }));
  }

  // Returns the index of the first stage that is new.
  private async replace(index: number, failure: StepFailure, position: number): Promise<number> {
    if (failure.kind === "cancelled") {
      throw new RouterError(ErrorKind.CallerGone, RunState.Unknown);
    }
    this.replacements += 1;
    if (this.replacements > mostReplacements) throw this.failure("too many stages were lost");
    if (!this.options.mayReplace()) throw this.failure("the retry budget is spent");
    const lost = this.stageAt(index);
    this.avoid(lost.target.name, failure.kind === "lost");
    const detour = await this.awaitDetour(index);
    const stages = detour.targets.map((target) => this.stage(target));
    const removed = this.stages.splice(detour.first, detour.count, ...stages);
    for (const stage of removed) this.closeStage(stage);
    this.report(lost, failure.reason, stages, position, 0);
    return detour.first;
  }

  // A leaving target finishes what it has; an answer that goes on is moved between
  // two tokens, by export and import where that works.
  private async moveFromLeaving(position: number): Promise<void> {
    if (position === 0) return;
    for (const [index, stage] of this.stages.entries()) {
      if (!this.options.isLeaving(stage.target.name)) continue;
      const { firstLayer, endLayer } = stage.target;
      const path = this.findPath(firstLayer, endLayer);
      const [target, ...others] = path.isOk ? path.value.targets : [];
      if (target === undefined || others.length > 0) continue;
      const replacement = this.stage(target);
      if (!(await this.moveCache(stage, replacement))) {
        this.closeStage(replacement);
        continue;
      }
      this.stages[index] = replacement;
      this.report(stage, "leaving", [replacement], position, replacement.cached);
      this.closeStage(stage);
    }
  }

  private async moveCache(from: Stage, to: Stage): Promise<boolean> {
    const exported = await this.options.control(from.target.name)?.exportCache(from.sequence);
    if (exported?.isOk !== true) return false;
    const control = this.options.control(to.target.name);
    const imported = await control?.importCache(to.sequence, exported.value);
    if (imported?.isOk !== true) return false;
    to.cached = exported.value.positions;
    return true;
  }

  private findPath(firstLayer: number, endLayer: number): Result<Path, { readonly layer: number }> {
    const fit = this.options.candidates().filter((target) => !this.lostTargets.has(target.name));
    return choosePath(fit, { firstLayer, endLayer, penalty: this.options.penalty });
  }

  // An engine that refuses a step has lost the sequence, but may begin a new one; one
  // that refuses again is avoided like one that is lost.
  private avoid(target: string, isLost: boolean): void {
    if (isLost || this.refusedTargets.has(target)) this.lostTargets.add(target);
    this.refusedTargets.add(target);
  }

  private async awaitDetour(index: number): Promise<Detour> {
    const { clock } = this.options;
    const patienceEnd = clock.monotonic() + pathPatience;
    while (clock.monotonic() < patienceEnd && !this.signal.aborted) {
      const detour = this.findDetour(index);
      if (detour !== undefined) return detour;
      await clock.sleep(pathPause, this.signal);
      // A target that was lost may have come back meanwhile.
      this.lostTargets.clear();
    }
    throw this.noPath(this.stageAt(index).target.firstLayer);
  }

  // The fewest stages to replace: the lost one alone, else with those after it, whose
  // caches are then rebuilt, else with those before it.
  private findDetour(index: number): Detour | undefined {
    const spans = this.stages.slice(index).map((_, further) => [index, index + further] as const);
    const earlier = this.stages
      .slice(0, index)
      .map((_, first) => [first, this.stages.length - 1] as const);
    for (const [first, last] of [...spans, ...earlier.reverse()]) {
      const { firstLayer } = this.stageAt(first).target;
      const { endLayer } = this.stageAt(last).target;
      const path = this.findPath(firstLayer, endLayer);
      if (path.isOk) return { first, count: last - first + 1, targets: path.value.targets };
    }
    return undefined;
  }

  private stage(target: TargetView): Stage {
    this.options.noteOpen(target.name, 1);
    return { target, sequence: this.nextSequence(), cached: 0 };
  }

  private stageAt(index: number): Stage {
    const stage = this.stages[index];
    if (stage === undefined) throw this.failure("a stage is missing");
    return stage;
  }

  private nextSequence(): string {
    this.sequences += 1;
    return `${this.request.sequencePrefix}.${this.sequences}`;
  }

  private closeStage(stage: Stage): void {
    this.options.noteOpen(stage.target.name, -1);
    this.options.channel(stage.target.name)?.closeSequence(stage.sequence);
  }

  private report(
    lost: Stage,
    reason: string,
    replacement: readonly Stage[],
    position: number,
    movedPositions: number,
  ): void {
    const names = replacement.map((stage) => stage.target.name);
    const event = { lost: lost.target.name, reason, replacement: names, position, movedPositions };
    this.options.onReplaced(event);
  }

  private noPath(layer: number): RouterError {
    const detail = `Layer ${layer} is held by no live target.`;
    const run = this.sequences === 0 ? RunState.NotRun : RunState.Unknown;
    return new RouterError(ErrorKind.NoPath, run, detail, 1);
  }

  private failure(detail: string): RouterError {
    return new RouterError(ErrorKind.AnswerInterrupted, RunState.Unknown, detail);
  }
}

/// `count` stages from the index `first` on give way to `targets`.
interface Detour {
  readonly first: number;
  readonly count: number;
  readonly targets: readonly TargetView[];
}

interface LostStage {
  readonly stage: Stage;
  readonly failure: StepFailure;
}
