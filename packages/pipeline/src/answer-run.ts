//! Runs one answer through the stages of a pipeline. A stage that is lost, refuses a step or
//! leaves is replaced by other targets, and the key/value caches of the replacement are
//! rebuilt or transferred.
import { ErrorKind, RouterError, RunState, type Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";
import { choosePath, type Path } from "@lovagebend/routing";
import { Result, type Unit } from "true-myth";
import type { AnswerOptions, AnswerRequest } from "./answer.js";
import type { StepFailure } from "./engine-channel.js";
import { Purpose, type OutputToken, type StepOutput } from "./engine-protocol.js";

const prefillChunkTokens = 256;
const maximumReplacements = 16;
/// How long an answer waits for a path when the live targets form none, and the interval at
/// which it searches again.
const pathTimeout: Milliseconds = 5_000;
const pathRetryInterval: Milliseconds = 100;

/// A stage of the current path. The cache of `sequence` holds the first `cachedPositions`
/// positions.
interface Stage {
  readonly target: TargetView;
  readonly sequence: string;
  cachedPositions: number;
}

/// The state of one running answer. Each method except `close` throws a `RouterError` if the
/// answer cannot continue.
export class AnswerRun {
  private stages: Stage[] = [];
  private readonly excludedTargets = new Set<string>();
  private readonly refusedTargets = new Set<string>();
  private sequenceCount = 0;
  private replacementCount = 0;

  constructor(
    private readonly request: AnswerRequest,
    private readonly options: AnswerOptions,
    private readonly signal: AbortSignal,
  ) {}

  selectStages(): void {
    const path = this.findPath(0, this.request.layers);
    if (path.isErr) throw this.createNoPathError(path.error.layer);
    this.stages = path.value.targets.map((target) => this.createStage(target));
  }

  /// Returns the token that follows `tokens`. Those before the index `from` have already been
  /// run.
  async nextToken(tokens: readonly number[], from: number): Promise<OutputToken> {
    await this.migrateFromLeavingTargets(from);
    let lastOutput: StepOutput | undefined;
    for (let start = from; start < tokens.length; start += prefillChunkTokens) {
      const end = Math.min(tokens.length, start + prefillChunkTokens);
      lastOutput = await this.runChunk(tokens, start, end);
    }
    if (typeof lastOutput !== "object")
      throw this.createInterruptedError("the last stage returned no token");
    return lastOutput;
  }

  close(): void {
    for (const stage of this.stages) this.closeStage(stage);
  }

  // Runs positions `start` to `end` through all stages. The inputs of the current stage are
  // kept, so that the stages before it do not run again if it is replaced.
  private async runChunk(
    tokens: readonly number[],
    start: number,
    end: number,
  ): Promise<StepOutput | undefined> {
    let inputs: readonly StepOutput[] | readonly number[] = tokens.slice(start, end);
    for (let index = 0; index < this.stages.length;) {
      const stage = this.stageAt(index);
      const outcome = await this.runStage(index, tokens, start, inputs);
      if (outcome.isOk) {
        stage.cachedPositions = end;
        inputs = outcome.value;
        index += 1;
        continue;
      }
      const failedIndex = this.stages.indexOf(outcome.error.stage);
      const firstReplacedIndex = await this.replaceStage(failedIndex, outcome.error.failure, start);
      if (firstReplacedIndex >= index) continue;
      // An earlier stage was replaced too, so the kept inputs belong to another stage and the
      // step starts again at the first stage. A stage that has run the step before returns
      // the same outputs without running it.
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
  ): Promise<Result<readonly StepOutput[], StageFailure>> {
    const stage = this.stageAt(index);
    if (stage.cachedPositions < start) {
      const rebuilt = await this.rebuildCache(index, tokens.slice(0, start));
      if (rebuilt.isErr) return Result.err(rebuilt.error);
    }
    return this.runStep(stage, stage.sequence, Purpose.Answer, start, inputs);
  }

  // Rebuilds the cache of a replaced stage by recomputation: the earlier positions run again
  // in temporary sequences on the stages before it.
  private async rebuildCache(
    index: number,
    tokens: readonly number[],
  ): Promise<Result<Unit, StageFailure>> {
    const upstream = this.stages.slice(0, index);
    const temporarySequences = upstream.map(() => this.nextSequence());
    const stage = this.stageAt(index);
    try {
      const firstMissingPosition = stage.cachedPositions;
      for (let start = firstMissingPosition; start < tokens.length; start += prefillChunkTokens) {
        // A temporary sequence begins at position 0, even if the stage has cached positions.
        const from = start === firstMissingPosition ? 0 : start;
        const end = Math.min(tokens.length, start + prefillChunkTokens);
        let values: readonly (StepOutput | number)[] = tokens.slice(from, end);
        for (const [upstreamIndex, upstreamStage] of upstream.entries()) {
          const sequence = temporarySequences[upstreamIndex] ?? "";
          const outcome = await this.runStep(
            upstreamStage,
            sequence,
            Purpose.Recompute,
            from,
            values,
          );
          if (outcome.isErr) return Result.err(outcome.error);
          values = outcome.value;
        }
        const stageInputs = values.slice(start - from);
        const outcome = await this.runStep(
          stage,
          stage.sequence,
          Purpose.Recompute,
          start,
          stageInputs,
        );
        if (outcome.isErr) return Result.err(outcome.error);
        stage.cachedPositions = end;
      }
      return Result.ok();
    } finally {
      upstream.forEach((upstreamStage, upstreamIndex) => {
        this.options
          .channel(upstreamStage.target.name)
          ?.closeSequence(temporarySequences[upstreamIndex] ?? "");
      });
    }
  }

  private async runStep(
    stage: Stage,
    sequence: string,
    purpose: Purpose,
    from: number,
    inputs: readonly (StepOutput | number)[],
  ): Promise<Result<readonly StepOutput[], StageFailure>> {
    const channel = this.options.channel(stage.target.name);
    if (channel === undefined) {
      return Result.err({
        stage,
        failure: { kind: "lost", reason: "the target was removed from the settings" },
      });
    }
    const message = {
      sequence,
      purpose,
      priority: this.request.priority,
      ...(from === 0 ? { prefix: this.request.prefixKeys } : {}),
      from,
      inputs: inputs as readonly (number | string)[],
    };
    const sentAt = this.options.clock.monotonicTime();
    const outcome = await channel.step(message, this.signal);
    if (outcome.isOk) this.options.recordStep(stage.target.name, inputs.length, sentAt);
    return outcome.mapErr((failure) => ({ stage, failure }));
  }

  // Replaces the failed stage, and more stages if necessary. Returns the index of the first
  // replaced stage.
  private async replaceStage(
    index: number,
    failure: StepFailure,
    position: number,
  ): Promise<number> {
    if (failure.kind === "cancelled") {
      throw new RouterError(ErrorKind.CallerGone, RunState.Unknown);
    }
    this.replacementCount += 1;
    if (this.replacementCount > maximumReplacements)
      throw this.createInterruptedError("too many stages were lost");
    if (!this.options.trySpendRetry())
      throw this.createInterruptedError("the retry budget is exhausted");
    const lostStage = this.stageAt(index);
    this.recordTargetFailure(lostStage.target.name, failure.kind === "lost");
    const replacement = await this.waitForReplacement(index);
    const stages = replacement.targets.map((target) => this.createStage(target));
    const removedStages = this.stages.splice(replacement.firstIndex, replacement.count, ...stages);
    for (const stage of removedStages) this.closeStage(stage);
    this.reportReplacement(lostStage, failure.reason, stages, position, 0);
    return replacement.firstIndex;
  }

  // Moves an answer off leaving targets between two tokens, by export and import of the
  // cache. Where this fails, the leaving target continues with the answer.
  private async migrateFromLeavingTargets(position: number): Promise<void> {
    if (position === 0) return;
    for (const [index, stage] of this.stages.entries()) {
      if (!this.options.isLeaving(stage.target.name)) continue;
      const { firstLayer, endLayer } = stage.target;
      const path = this.findPath(firstLayer, endLayer);
      const [target, ...additionalTargets] = path.isOk ? path.value.targets : [];
      if (target === undefined || additionalTargets.length > 0) continue;
      const replacement = this.createStage(target);
      if (!(await this.transferCache(stage, replacement))) {
        this.closeStage(replacement);
        continue;
      }
      this.stages[index] = replacement;
      this.reportReplacement(
        stage,
        "leaving",
        [replacement],
        position,
        replacement.cachedPositions,
      );
      this.closeStage(stage);
    }
  }

  private async transferCache(from: Stage, to: Stage): Promise<boolean> {
    const exported = await this.options.control(from.target.name)?.exportCache(from.sequence);
    if (exported?.isOk !== true) return false;
    const control = this.options.control(to.target.name);
    const imported = await control?.importCache(to.sequence, exported.value);
    if (imported?.isOk !== true) return false;
    to.cachedPositions = exported.value.positions;
    return true;
  }

  private findPath(firstLayer: number, endLayer: number): Result<Path, { readonly layer: number }> {
    const availableTargets = this.options
      .candidates()
      .filter((target) => !this.excludedTargets.has(target.name));
    return choosePath(availableTargets, { firstLayer, endLayer, penalty: this.options.penalty });
  }

  // Excludes a lost target from new paths. An engine that refuses a step has lost the
  // sequence but can begin a new one, so it is excluded only at its second refusal.
  private recordTargetFailure(target: string, isLost: boolean): void {
    if (isLost || this.refusedTargets.has(target)) this.excludedTargets.add(target);
    this.refusedTargets.add(target);
  }

  private async waitForReplacement(index: number): Promise<Replacement> {
    const { clock } = this.options;
    const deadline = clock.monotonicTime() + pathTimeout;
    while (clock.monotonicTime() < deadline && !this.signal.aborted) {
      const replacement = this.findReplacement(index);
      if (replacement !== undefined) return replacement;
      await clock.sleep(pathRetryInterval, this.signal);
      // An excluded target may have recovered in the meantime.
      this.excludedTargets.clear();
    }
    throw this.createNoPathError(this.stageAt(index).target.firstLayer);
  }

  // Finds a replacement for as few stages as possible: for the failed stage alone, else for
  // it and later stages, whose caches are then rebuilt, else for it, all later stages and
  // earlier ones.
  private findReplacement(index: number): Replacement | undefined {
    const followingSpans = this.stages
      .slice(index)
      .map((_, offset) => [index, index + offset] as const);
    const precedingSpans = this.stages
      .slice(0, index)
      .map((_, first) => [first, this.stages.length - 1] as const);
    for (const [first, last] of [...followingSpans, ...precedingSpans.reverse()]) {
      const { firstLayer } = this.stageAt(first).target;
      const { endLayer } = this.stageAt(last).target;
      const path = this.findPath(firstLayer, endLayer);
      if (path.isOk)
        return { firstIndex: first, count: last - first + 1, targets: path.value.targets };
    }
    return undefined;
  }

  private createStage(target: TargetView): Stage {
    this.options.adjustOpenAnswers(target.name, 1);
    return { target, sequence: this.nextSequence(), cachedPositions: 0 };
  }

  private stageAt(index: number): Stage {
    const stage = this.stages[index];
    if (stage === undefined) throw this.createInterruptedError("a stage is missing");
    return stage;
  }

  private nextSequence(): string {
    this.sequenceCount += 1;
    return `${this.request.sequencePrefix}.${this.sequenceCount}`;
  }

  private closeStage(stage: Stage): void {
    this.options.adjustOpenAnswers(stage.target.name, -1);
    this.options.channel(stage.target.name)?.closeSequence(stage.sequence);
  }

  private reportReplacement(
    lostStage: Stage,
    reason: string,
    replacement: readonly Stage[],
    position: number,
    movedPositions: number,
  ): void {
    const names = replacement.map((stage) => stage.target.name);
    const event = {
      lost: lostStage.target.name,
      reason,
      replacement: names,
      position,
      movedPositions,
    };
    this.options.onStageReplaced(event);
  }

  private createNoPathError(layer: number): RouterError {
    const detail = `Layer ${layer} is held by no live target.`;
    const run = this.sequenceCount === 0 ? RunState.NotRun : RunState.Unknown;
    return new RouterError(ErrorKind.NoPath, run, detail, 1);
  }

  private createInterruptedError(detail: string): RouterError {
    return new RouterError(ErrorKind.AnswerInterrupted, RunState.Unknown, detail);
  }
}

/// `targets` that replace `count` stages from `firstIndex` on.
interface Replacement {
  readonly firstIndex: number;
  readonly count: number;
  readonly targets: readonly TargetView[];
}

interface StageFailure {
  readonly stage: Stage;
  readonly failure: StepFailure;
}
