//! The task that carries one answer: token by token through all stages, replacing
//! stages that are lost and rebuilding their caches.
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";
import { AnswerRun } from "./answer-run.js";
import type { StepChannel } from "./engine-channel.js";
import type { CacheMover } from "./engine-control.js";
import type { OutputToken } from "./engine-protocol.js";

/// An answer to be carried. `sequencePrefix` is unique to this run of the request;
/// `tokens` are the prompt and, for a resumed answer, the tokens already given;
/// `prefixKeys` name the prompt's prefixes in the engines' caches.
export interface AnswerRequest {
  readonly sequencePrefix: string;
  readonly tokens: readonly number[];
  readonly mostTokens: number;
  readonly layers: number;
  readonly priority: number;
  readonly prefixKeys: readonly string[];
}

/// What the task needs of its surroundings. `candidates` lists the targets fit for
/// new work now. `mayReplace` asks the retry budget for leave to replace a stage.
export interface AnswerOptions {
  readonly clock: Clock;
  readonly candidates: () => readonly TargetView[];
  readonly penalty: (target: TargetView) => number;
  readonly channel: (target: string) => StepChannel | undefined;
  readonly control: (target: string) => CacheMover | undefined;
  readonly isLeaving: (target: string) => boolean;
  readonly noteStep: (target: string, tokens: number, sentAt: Milliseconds) => void;
  readonly noteOpen: (target: string, change: 1 | -1) => void;
  readonly mayReplace: () => boolean;
  readonly onReplaced: (event: StageReplaced) => void;
}

/// A stage was replaced. `cachedTokens` positions were moved with it; the others
/// are recomputed.
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

/// Carries the answer and yields its tokens in order. Throws a `RouterError`: the
/// tokens yielded before it are right, and the answer can be resumed from them.
export async function* runAnswer(
  request: AnswerRequest,
  options: AnswerOptions,
  signal: AbortSignal,
): AsyncGenerator<AnswerToken, void, void> {
  const run = new AnswerRun(request, options, signal);
  try {
    run.choose();
    const tokens = [...request.tokens];
    let from = 0;
    for (let count = 0; count < request.mostTokens; count += 1) {
      const next = await run.next(tokens, from);
      if (next.end === true) return;
      yield { ...next, position: tokens.length };
      from = tokens.length;
      tokens.push(next.token);
    }
  } finally {
    run.close();
  }
}
