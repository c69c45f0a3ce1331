//! The sequences of the test engine: the cache of each layer, the outputs of the last
//! step for retries, and a record of all runs.
import { embed, endOfSequenceToken, runLayer, sample, decodeToken } from "./model.js";

export interface StepRequest {
  readonly id: number;
  readonly sequence: string;
  readonly purpose: string;
  readonly priority: number;
  readonly from: number;
  readonly prefix?: readonly string[];
  readonly repeated?: boolean;
  readonly inputs: readonly (number | string)[];
}

/// A recorded run of the layers from `firstLayer` up to, not including, `endLayer`, for
/// the positions from `from` up to, not including, `end`.
export interface RecordedRun {
  readonly sequence: string;
  readonly purpose: string;
  readonly from: number;
  readonly end: number;
  readonly firstLayer: number;
  readonly endLayer: number;
}

interface Sequence {
  nextPosition: number;
  layerCaches: string[];
  lastStepStart: number;
  lastOutputs: unknown[];
}

interface SequenceTableOptions {
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly layers: number;
  readonly shouldRecordRuns: boolean;
}

const maximumSequences = 10_000;

export class SequenceTable {
  readonly recordedRuns: RecordedRun[] = [];
  private readonly sequences = new Map<string, Sequence>();

  constructor(private readonly options: SequenceTableOptions) {}

  get size(): number {
    return this.sequences.size;
  }

  /// Runs a step. When the step is a retry of the last one, returns that one's outputs
  /// without running it.
  run(step: StepRequest): object {
    const resultBase = { id: step.id, sequence: step.sequence, from: step.from };
    const sequence = this.findOrCreate(step);
    if (sequence === undefined) return { ...resultBase, error: "unknown sequence" };
    const isRepeated =
      step.from === sequence.lastStepStart && sequence.lastOutputs.length === step.inputs.length;
    if (isRepeated) return { ...resultBase, outputs: sequence.lastOutputs };
    if (step.from !== sequence.nextPosition) return { ...resultBase, error: "gap" };
    const outputs = step.inputs.map((input, index) =>
      this.forward(sequence, step.from + index, input),
    );
    sequence.lastStepStart = step.from;
    sequence.lastOutputs = outputs;
    sequence.nextPosition += outputs.length;
    this.recordRun(step);
    return { ...resultBase, outputs };
  }

  close(sequence: string): void {
    this.sequences.delete(sequence);
  }

  clear(): void {
    this.sequences.clear();
  }

  export(name: string): { positions: number; cache: string[] } | undefined {
    const sequence = this.sequences.get(name);
    return sequence === undefined
      ? undefined
      : { positions: sequence.nextPosition, cache: sequence.layerCaches };
  }

  import(exported: { sequence: string; positions: number; cache: string[] }): void {
    this.sequences.set(exported.sequence, {
      nextPosition: exported.positions,
      layerCaches: [...exported.cache],
      lastStepStart: -1,
      lastOutputs: [],
    });
  }

  private findOrCreate(step: StepRequest): Sequence | undefined {
    const existing = this.sequences.get(step.sequence);
    if (existing !== undefined || step.from !== 0 || step.repeated === true) return existing;
    if (this.sequences.size >= maximumSequences) return undefined;
    const layers = this.options.endLayer - this.options.firstLayer;
    const layerCaches = Array.from({ length: layers }, () => "");
    const created = { nextPosition: 0, layerCaches, lastStepStart: -1, lastOutputs: [] };
    this.sequences.set(step.sequence, created);
    return created;
  }

  private forward(sequence: Sequence, position: number, input: number | string): unknown {
    let state = typeof input === "number" ? embed(input) : input;
    sequence.layerCaches.forEach((cache, index) => {
      const result = runLayer(this.options.firstLayer + index, position, state, cache);
      state = result.state;
      sequence.layerCaches[index] = result.cache;
    });
    if (this.options.endLayer < this.options.layers) return state;
    const token = sample(state);
    return {
      token,
      text: decodeToken(token),
      ...(token === endOfSequenceToken ? { end: true } : {}),
    };
  }

  private recordRun(step: StepRequest): void {
    if (!this.options.shouldRecordRuns) return;
    const { sequence, purpose, from, inputs } = step;
    const { firstLayer, endLayer } = this.options;
    this.recordedRuns.push({
      sequence,
      purpose,
      from,
      end: from + inputs.length,
      firstLayer,
      endLayer,
    });
  }
}
