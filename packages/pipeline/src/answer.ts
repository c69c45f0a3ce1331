//! Generates one answer token by token through all stages of a pipeline. Lost stages are
//! replaced and their caches rebuilt while the answer continues.
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";
import { AnswerRun } from "./answer-run.js";
import type { StepChannel } from "./engine-channel.js";
import type { CacheTransfer } from "./engine-control.js";
import type { OutputToken } from "./engine-protocol.js";

/// An answer to generate. `sequencePrefix` is unique to this run of the request; `tokens`
/// are the prompt and, for a resumed answer, the tokens already delivered; `maximumTokens`
/// bounds the tokens to generate; `prefixKeys` are the keys of the prompt's prefixes in the
/// engines' prefix caches.
export interface AnswerRequest {
  readonly sequencePrefix: string;
  readonly tokens: readonly number[];
  readonly maximumTokens: number;
  readonly layers: number;
  readonly priority: number;
  readonly prefixKeys: readonly string[];
}

/// The dependencies of a running answer. `candidates` lists the targets that currently accept
/// new work. `trySpendRetry` takes a retry from the retry budget and returns whether one was
/// left. `adjustOpenAnswers` counts a stage that started (1) or stopped (-1) using a target.
export interface AnswerOptions {
  readonly clock: Clock;
  readonly candidates: () => readonly TargetView[];
  readonly penalty: (target: TargetView) => number;
  readonly channel: (target: string) => StepChannel | undefined;
  readonly control: (target: string) => CacheTransfer | undefined;
  readonly isLeaving: (target: string) => boolean;
  readonly recordStep: (target: string, tokens: number, sentAt: Milliseconds) => void;
  readonly adjustOpenAnswers: (target: string, change: 1 | -1) => void;
  readonly trySpendRetry: () => boolean;
  readonly onStageReplaced: (event: StageReplaced) => void;
}

/// The event of a replaced stage. The cache of `movedPositions` positions was transferred;
/// the others are recomputed.
export interface StageReplaced {
  readonly lost: string;
  readonly reason: string;
  readonly replacement: readonly string[];
  readonly position: number;
  readonly movedPositions: number;
}

export interface AnswerToken extends OutputToken {
  readonly position: number;
}

/// Generates the answer and yields its tokens in order. Throws a `RouterError` on failure;
/// the tokens yielded before it are valid, and the answer can be resumed after them.
export async function* runAnswer(
  request: AnswerRequest,
  options: AnswerOptions,
  signal: AbortSignal,
): AsyncGenerator<AnswerToken, void, void> {
  const run = new AnswerRun(request, options, signal);
  try {
    run.selectStages();
    const tokens = [...request.tokens];
    let from = 0;
    for (let count = 0; count < request.maximumTokens; count += 1) {
      const next = await run.nextToken(tokens, from);
      if (next.end === true) return;
      yield { ...next, position: tokens.length };
      from = tokens.length;
      tokens.push(next.token);
    }
  } finally {
    run.close();
  }
}
