//! The messages that the router and an engine exchange over a step channel, one line of JSON
//! each, as documented in docs/INTERFACES.md.
import { z } from "zod";

/// `Answer` steps generate the answer. `Recompute` steps rebuild a lost key/value cache, and
/// their outputs never reach a caller.
export enum Purpose {
  Answer = "answer",
  Recompute = "recompute",
}

/// The output of a stage for one position: an opaque state for the next stage, or, from the
/// last stage, a token. `end` marks the token that ends an answer.
export type StepOutput = string | OutputToken;

export interface OutputToken {
  readonly token: number;
  readonly text: string;
  readonly end?: boolean | undefined;
}

/// A step: the positions of a sequence from `from` on, with one input each: token numbers for
/// the first stage, states for the others. An engine that has already run these positions
/// returns the same outputs without running them. `prefix` holds the keys of the prompt's
/// blocks in the engine's prefix cache. `repeated` marks a step that may have arrived before:
/// an engine that does not hold its sequence must refuse it instead of beginning it again.
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

/// The outputs of a step, or the error for which it did not run.
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

/// A line from the engine: results, or a heartbeat while steps are open.
export const engineLine = z.object({
  results: z.array(stepResult).optional(),
  alive: z.boolean().optional(),
});
export type EngineLine = z.output<typeof engineLine>;
