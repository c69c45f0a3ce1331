//! What an operator declares of a service: its connections and, for a model, its layers.
import type { Milliseconds } from "@lovagebend/common";

/// An accelerator card. The factors multiply the model's times on the reference card.
export interface CardKind {
  readonly memoryMegabytes: number;
  readonly stepFactor: number;
  readonly readFactor: number;
}

/// A model cut into layers, and the times of its reference card for all of them.
export interface LayeredModel {
  readonly layers: number;
  readonly layerMegabytes: number;
  /// Of all layers together, for one token of context.
  readonly cacheBytesPerToken: number;
  readonly stepTime: Milliseconds;
  /// What each answer that is being written adds to a step, and each 1,000 tokens of
  /// context of those answers.
  readonly stepTimePerAnswer: Milliseconds;
  readonly stepTimePerThousandTokens: Milliseconds;
  readonly readTokensPerSecond: number;
  /// A pass over the waiting work takes this many steps while answers are being written,
  /// and reads this many tokens of prompts at most.
  readonly stepsPerPass: number;
  readonly largestReadPerPass: number;
  readonly loadTime: Milliseconds;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly cards: ReadonlyMap<string, CardKind>;
}

/// `largestConnections` is what one target accepts from all callers together.
export interface ServiceProfile {
  readonly name: string;
  readonly healthPath: string;
  readonly largestConnections: number;
  readonly model: LayeredModel | undefined;
}
