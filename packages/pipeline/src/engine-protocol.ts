//! The lines that the router and an engine exchange over a step channel, as
//! docs/INTERFACES.md publishes them.
import { z } from "zod";

/// `Answer` steps make up the answer; `Recompute` steps rebuild a lost key/value
/// cache, and their outputs never reach a caller.
export enum Purpose {
  Answer = "answer",
  Recompute = "recompute",
}

/// What a stage gives for one position: an opaque state for the next stage, or,
/// from the last stage, a token with its text, `end` on the one that ends an answer.
export type StepOutput = string | OutputToken;

export interface OutputToken {
  readonly token: number;
  readonly text: string;
  readonly end?: boolean | undefined;
}

/// Positions `from` onwards of a sequence, one input each: token numbers for the
/// first stage, states for the others. An engine that has run these positions
/// already gives their outputs again and runs nothing. `prefix` names the blocks of
/// the prompt in the engine's prefix cache. `repeated` marks a step that may have arrived
/// before: an engine that does not know its sequence must not begin it anew.
export interface StepMessage {
  readonly id: number;
  readonly sequence: string;
  readonly purpose: Purpose;
  readonly priority: number;
  readonly prefix?: readonly string[];
  readonly repeated?: boolean;
  readonly from: number;
  readonly inputs: readonly (number | string)[];
}

/// The outputs of a step, or the reason why it did not run.
export interface StepResult {
  readonly id: number;
  readonly sequence: string;
  readonly from: number;
  readonly outputs?: readonly StepOutput[] | undefined;
  readonly error?: string | undefined;
}

const stepResult = z.object({
  id: z.number().int(),
  sequence: z.string(),
  from: z.number().int(),
  outputs: z
    .array(
      z.union([
        z.string(),
        z.object({ token: z.number(), text: z.string(), end: z.boolean().optional() }),
      ]),
    )
    .optional(),
  error: z.string().optional(),
});

/// A line from the engine: results, or a sign of life while work is under way.
export const engineLine = z.object({
  results: z.array(stepResult).optional(),
  alive: z.boolean().optional(),
});
export type EngineLine = z.output<typeof engineLine>;
