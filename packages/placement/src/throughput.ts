//! The throughput, in answers per second, that a placement of layers supports. The engines of a
//! data centre are evaluated together, because paths stay within a data centre. The number of
//! answers that run at once is bounded by cache memory, layer by layer, and by the slots of the
//! engines that hold the first layer. Little's law turns it into a rate: answers at once divided by
//! the duration of an answer. Prefill and links between data centres bound the rate as well.
import type { LayeredModel } from "@lovagebend/catalog";
import { boundByProcessing, estimateDuration } from "./answer-duration.js";
import { countTypicalTokens } from "./layer-capacity.js";
import {
  mergeHoldings,
  sumLayers,
  type LayerHolders,
  type LayerHolding,
  type LayerSums,
} from "./layer-holders.js";
import { countFirstStageAnswers, findWorstLosses, maximumLosses } from "./engine-losses.js";

/// What bounds the throughput of a group of engines.
export enum BindingConstraint {
  /// Some layer has no holder.
  MissingLayer = "missing layer",
  /// Cache memory of the holders of the layer that has least.
  CacheMemory = "cache memory",
  /// Slots of the engines that begin paths.
  FirstStageSlots = "slots of first stages",
  /// Processing time of the engine with the most work for each answer.
  ProcessingTime = "processing time",
  /// The link that transfers between data centres share.
  Link = "link between data centres",
}

/// The throughput of the engines that serve answers together, usually those of a data centre.
export interface GroupRate {
  readonly answersPerSecond: number;
  readonly answersAtOnce: number;
  readonly answerSeconds: number;
  /// The mean number of stages of a path, when all holders of a layer are used equally.
  readonly meanStages: number;
  readonly binding: BindingConstraint;
  /// The first of the layers whose holders have least cache memory.
  readonly bindingLayer: number;
}

/// The throughput with what the loss of engines takes.
export interface GroupThroughput extends GroupRate {
  /// The largest share of the throughput that the loss of one, two, three and four engines takes.
  readonly worstLossShares: readonly number[];
}

/// Evaluates engines that serve answers together, and what their losses take.
export function evaluateGroup(
  holdings: readonly LayerHolding[],
  model: LayeredModel,
): GroupThroughput {
  const holders = mergeHoldings(holdings, model);
  const layers = sumLayers(holders, model.layerCount);
  const rate = evaluateHolders(holders, layers, model);
  return {
    ...rate,
    worstLossShares: findWorstLosses(holders, layers, model, rate.answersAtOnce),
  };
}

/// Evaluates engines that serve answers together, without their losses.
export function evaluateRate(holdings: readonly LayerHolding[], model: LayeredModel): GroupRate {
  const holders = mergeHoldings(holdings, model);
  return evaluateHolders(holders, sumLayers(holders, model.layerCount), model);
}

function evaluateHolders(
  holders: readonly LayerHolders[],
  layers: LayerSums,
  model: LayeredModel,
): GroupRate {
  const memoryBound = findMinimum(layers.answersAtOnce);
  const slots = countFirstStageAnswers(holders, model);
  const answersAtOnce = Math.min(memoryBound.value, slots);
  const meanStages = countStages(layers, model.layerCount);
  if (answersAtOnce <= 0) {
    return {
      answersPerSecond: 0,
      answersAtOnce: 0,
      answerSeconds: 0,
      meanStages,
      binding: BindingConstraint.MissingLayer,
      bindingLayer: memoryBound.index,
    };
  }
  const processingBound = boundByProcessing(holders, layers, model);
  const linkBound = boundByLink(holders, layers, model);
  const answerSeconds = estimateDuration(
    holders,
    layers,
    model,
    answersAtOnce,
    meanStages,
    Math.min(processingBound, linkBound),
  );
  const concurrencyBound = answersAtOnce / answerSeconds;
  const answersPerSecond = Math.min(concurrencyBound, processingBound, linkBound);
  const binding =
    answersPerSecond === linkBound
      ? BindingConstraint.Link
      : answersPerSecond === processingBound
        ? BindingConstraint.ProcessingTime
        : answersAtOnce === memoryBound.value
          ? BindingConstraint.CacheMemory
          : BindingConstraint.FirstStageSlots;
  return {
    answersPerSecond,
    answersAtOnce:
      answersPerSecond === concurrencyBound ? answersAtOnce : answersPerSecond * answerSeconds,
    answerSeconds,
    meanStages,
    binding,
    bindingLayer: memoryBound.index,
  };
}

function findMinimum(values: readonly number[]): { value: number; index: number } {
  let index = 0;
  values.forEach((value, candidate) => {
    if (value < (values[index] ?? Infinity)) index = candidate;
  });
  return { value: values[index] ?? 0, index };
}

// A path changes its engine where ranges end, and also where ranges begin without others that
// end, because the engines that begin there would have no work otherwise.
function countStages({ answersAtOnce, beginning, ending }: LayerSums, layerCount: number): number {
  let stages = 1;
  for (let layer = 1; layer < layerCount; layer += 1) {
    const changing = Math.max(beginning[layer] ?? 0, ending[layer] ?? 0);
    stages += Math.min(1, changing / Math.max(1, answersAtOnce[layer] ?? 0));
  }
  return stages;
}

// Answers cross between data centres where the next holder is in another one. With ranges ordered
// by data centre, this happens once less than there are data centres.
function boundByLink(
  holders: readonly LayerHolders[],
  layers: LayerSums,
  model: LayeredModel,
): number {
  const { linkMegabitsPerSecond: megabits, activationBytesPerToken: bytes } = model;
  if (megabits === undefined || bytes === undefined) return Infinity;
  const crossings = new Set(holders.map(({ dataCentre }) => dataCentre)).size - 1;
  const bytesPerAnswer = crossings * bytes * countTypicalTokens(model);
  return bytesPerAnswer === 0 ? Infinity : (megabits * 1e6) / 8 / bytesPerAnswer;
}

/// The throughput of several groups together, and what remains of it after losses.
export interface ThroughputSummary {
  readonly answersPerSecond: number;
  readonly afterOneLoss: number;
  readonly afterFourLosses: number;
  readonly afterDataCentreLoss: number;
}

/// Combines the throughput of groups. The worst four losses may fall on several groups.
export function summariseGroups(groups: readonly GroupThroughput[]): ThroughputSummary {
  const answersPerSecond = groups.reduce((sum, group) => sum + group.answersPerSecond, 0);
  // The largest loss of throughput by `losses` engines in the groups so far.
  let worst = new Array<number>(maximumLosses + 1).fill(0);
  for (const { answersPerSecond: rate, worstLossShares } of groups) {
    worst = worst.map((_, losses) => {
      let most = 0;
      for (let here = 0; here <= losses; here += 1) {
        const lostHere = here === 0 ? 0 : rate * (worstLossShares[here - 1] ?? 0);
        most = Math.max(most, (worst[losses - here] ?? 0) + lostHere);
      }
      return most;
    });
  }
  const largestGroup = Math.max(0, ...groups.map((group) => group.answersPerSecond));
  return {
    answersPerSecond,
    afterOneLoss: answersPerSecond - (worst[1] ?? 0),
    afterFourLosses: answersPerSecond - (worst[maximumLosses] ?? 0),
    afterDataCentreLoss: answersPerSecond - largestGroup,
  };
}
