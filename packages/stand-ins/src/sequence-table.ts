//! The sequences of a stand-in engine: their caches, the outputs of their last
//! step, and a record of what ran.
import { embed, endToken, runLayer, sample, wordOf } from "./model.js";

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

/// What ran: the layers from `firstLayer` to `endLayer` for each position from
/// `from` up to, not including, `end`.
export interface Run {
  readonly sequence: string;
  readonly purpose: string;
  readonly from: number;
  readonly end: number;
  readonly firstLayer: number;
  readonly endLayer: number;
}

interface Sequence {
  next: number;
  caches: string[];
  lastFrom: number;
  lastOutputs: unknown[];
}

interface Range {
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly layers: number;
  readonly keepsRecord: boolean;
}

const mostSequences = 10_000;

export class SequenceTable {
  readonly record: Run[] = [];
  private readonly sequences = new Map<string, Sequence>();

  constructor(private readonly range: Range) {}

  get size(): number {
    return this.sequences.size;
  }

  /// Runs a step, or repeats the outputs of the same step without running it.
  run(step: StepRequest): object {
    const answer = { id: step.id, sequence: step.sequence, from: step.from };
    const sequence = this.find(step);
    if (sequence === undefined) return { ...answer, error: "unknown sequence" };
    const repeated =
      step.from === sequence.lastFrom && sequence.lastOutputs.length === step.inputs.length;
    if (repeated) return { ...answer, outputs: sequence.lastOutputs };
    if (step.from !== sequence.next) return { ...answer, error: "gap" };
    const outputs = step.inputs.map((input, index) =>
      this.forward(sequence, step.from + index, input),
    );
    sequence.lastFrom = step.from;
    sequence.lastOutputs = outputs;
    sequence.next += outputs.length;
    this.note(step);
    return { ...answer, outputs };
  }

  close(sequence: string): void {
    this.sequences.delete(sequence);
  }

  forgetAll(): void {
    this.sequences.clear();
  }

  export(name: string): { positions: number; cache: string[] } | undefined {
    const sequence = this.sequences.get(name);
    return sequence === undefined
      ? undefined
      : { positions: sequence.next, cache: sequence.caches };
  }

  import(exported: { sequence: string; positions: number; cache: string[] }): void {
    this.sequences.set(exported.sequence, {
      next: exported.positions,
      caches: [...exported.cache],
      lastFrom: -1,
      lastOutputs: [],
    });
  }

  private find(step: StepRequest): Sequence | undefined {
    const known = this.sequences.get(step.sequence);
    if (known !== undefined || step.from !== 0 || step.repeated === true) return known;
    if (this.sequences.size >= mostSequences) return undefined;
    const layers = this.range.endLayer - this.range.firstLayer;
    const caches = Array.from({ length: layers }, () => "");
    const created = { next: 0, caches, lastFrom: -1, lastOutputs: [] };
    this.sequences.set(step.sequence, created);
    return created;
  }

  private forward(sequence: Sequence, position: number, input: number | string): unknown {
    let state = typeof input === "number" ? embed(input) : input;
    sequence.caches.forEach((cache, index) => {
      const result = runLayer(this.range.firstLayer + index, position, state, cache);
      state = result.state;
      sequence.caches[index] = result.cache;
    });
    if (this.range.endLayer < this.range.layers) return state;
    const token = sample(state);
    return { token, text: wordOf(token), ...(token === endToken ? { end: true } : {}) };
  }

  private note(step: StepRequest): void {
    if (!this.range.keepsRecord) return;
    const { sequence, purpose, from, inputs } = step;
    const { firstLayer, endLayer } = this.range;
    this.record.push({ sequence, purpose, from, end: from + inputs.length, firstLayer, endLayer });
  }
}
