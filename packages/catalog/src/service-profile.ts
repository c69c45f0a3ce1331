//! An operator's declaration of a service: its health check, its connection limit and, for a
//! model that is split into layers, the cost of its layers.
import type { Milliseconds } from "@lovagebend/common";
import type { LayerRange } from "./listed-target.js";

/// A kind of accelerator card. The factors multiply the model's decoding step times
/// (`stepFactor`) and prefill times (`prefillFactor`) on the reference card.
export interface CardKind {
  readonly memoryMegabytes: number;
  readonly stepFactor: number;
  readonly prefillFactor: number;
}

/// A model that is split into layers. The times are those of the reference card for all layers
/// together.
export interface LayeredModel {
  readonly layerCount: number;
  readonly layerMegabytes: number;
  /// The cache of all layers together for one token of context.
  readonly cacheBytesPerToken: number;
  readonly stepTime: Milliseconds;
  /// The time that each concurrent answer adds to a decoding step, and the time that each
  /// 1,000 tokens of context of these answers add.
  readonly stepTimePerAnswer: Milliseconds;
  readonly stepTimePerThousandTokens: Milliseconds;
  readonly prefillTokensPerSecond: number;
  /// A pass over the queued work takes `stepsPerPass` decoding steps while answers are being
  /// generated, and prefills at most `maximumPrefillTokensPerPass` prompt tokens.
  readonly stepsPerPass: number;
  readonly maximumPrefillTokensPerPass: number;
  readonly loadTime: Milliseconds;
  /// The number of loads that run at full speed at the same time; more slow each other down. 16
  /// where it is missing.
  readonly maximumConcurrentLoads?: number | undefined;
  /// The number of requests that run at once on an engine that is the first one of their paths.
  /// Without a value this number has no limit.
  readonly firstStageSlots?: number | undefined;
  /// The bytes that each boundary between two parts of a path sends for one token, and the bandwidth
  /// of the link between two data centres, which all transfers share. Without a value the link is not
  /// limited.
  readonly activationBytesPerToken?: number | undefined;
  readonly linkMegabitsPerSecond?: number | undefined;
  readonly typicalPromptTokens: number;
  readonly typicalAnswerTokens: number;
  readonly cards: ReadonlyMap<string, CardKind>;
}

/// Whether `layers` are layers of `model`. An engine that reports others is of no use to it.
export function isWithinModel(
  layers: LayerRange,
  model: Pick<LayeredModel, "layerCount">,
): boolean {
  return layers.first >= 0 && layers.first < layers.end && layers.end <= model.layerCount;
}

/// `maximumConnections` is the number of connections that one target accepts from all clients
/// together.
export interface ServiceProfile {
  readonly name: string;
  readonly healthPath: string;
  readonly maximumConnections: number;
  readonly model: LayeredModel | undefined;
}
