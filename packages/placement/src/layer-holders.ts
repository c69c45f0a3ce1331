//! The engines that hold the layers of a group, with what each layer of them can do. Engines with the
//! same card and range are evaluated together, because large fleets have many of these.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import { countConcurrentAnswers } from "./layer-capacity.js";

/// An engine with the layers that it holds.
export interface LayerHolding {
  readonly card: string;
  readonly dataCentre: string;
  readonly layers: LayerRange;
}

/// Engines with the same card, data centre and range.
export interface LayerHolders extends LayerHolding {
  readonly count: number;
  /// The answers at once of all of them together.
  readonly answersAtOnce: number;
  /// The step and prefill times of one layer, in milliseconds for a step without answers, for
  /// what each answer adds to a step, and for the typical prompt.
  readonly layerStepTime: number;
  readonly layerTimePerAnswer: number;
  readonly layerPrefillTime: number;
}

/// Groups `holdings` by card, data centre and range.
export function mergeHoldings(
  holdings: readonly LayerHolding[],
  model: LayeredModel,
): readonly LayerHolders[] {
  const holders = new Map<string, { holding: LayerHolding; count: number }>();
  for (const holding of holdings) {
    const { card, dataCentre, layers } = holding;
    const key = `${layers.first} ${layers.end} ${card} ${dataCentre}`;
    const known = holders.get(key);
    if (known === undefined) holders.set(key, { holding, count: 1 });
    else known.count += 1;
  }
  return [...holders.values()].flatMap(({ holding, count }) => toHolder(holding, count, model));
}

function toHolder(
  holding: LayerHolding,
  count: number,
  model: LayeredModel,
): readonly LayerHolders[] {
  const { dataCentre, layers } = holding;
  const card = model.cards.get(holding.card);
  const { first, end } = layers;
  if (card === undefined || end <= first) return [];
  const contextTokens = model.typicalPromptTokens + model.typicalAnswerTokens / 2;
  const stepPerLayer = card.stepFactor / model.layerCount;
  return [
    {
      card: holding.card,
      dataCentre,
      layers,
      count,
      answersAtOnce: count * countConcurrentAnswers(model, card.memoryMegabytes, end - first),
      layerStepTime: stepPerLayer * model.stepTime,
      layerTimePerAnswer:
        stepPerLayer *
        (model.stepTimePerAnswer + (contextTokens / 1_000) * model.stepTimePerThousandTokens),
      layerPrefillTime:
        ((card.prefillFactor / model.layerCount) * model.typicalPromptTokens * 1_000) /
        model.prefillTokensPerSecond,
    },
  ];
}

/// Sums over the holders of each layer.
export interface LayerSums {
  readonly answersAtOnce: number[];
  readonly holderCount: number[];
  /// Answers at once of the ranges that begin, and that end, at each layer boundary.
  readonly beginning: number[];
  readonly ending: number[];
}

export function sumLayers(holders: readonly LayerHolders[], layerCount: number): LayerSums {
  const zeros = (): number[] => new Array<number>(layerCount + 1).fill(0);
  const [answersAtOnce, holderCount, beginning, ending] = [zeros(), zeros(), zeros(), zeros()];
  for (const { layers, count, answersAtOnce: answers } of holders) {
    beginning[layers.first] = (beginning[layers.first] ?? 0) + answers;
    ending[layers.end] = (ending[layers.end] ?? 0) + answers;
    for (let layer = layers.first; layer < layers.end; layer += 1) {
      answersAtOnce[layer] = (answersAtOnce[layer] ?? 0) + answers;
      holderCount[layer] = (holderCount[layer] ?? 0) + count;
    }
  }
  answersAtOnce.length = layerCount;
  holderCount.length = layerCount;
  return { answersAtOnce, holderCount, beginning, ending };
}
