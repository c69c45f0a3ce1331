//! Estimates what a caller sees of a stream on a path: the time until its first event, and the time
//! between its events. Both are sums over the stages of the path.
import type { LayeredModel } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import type { PathPart } from "@lovagebend/routing";
import type { EngineLoad } from "./engine-cost.js";

/// `gap` is the time between the events of one pass and the next. `leastFirstEvent` is the time
/// until the first event without what is only assumed of the work of other entry VMs: prefill, links
/// and the lateness that streams show.
export interface PathEstimate {
  readonly firstEvent: Milliseconds;
  readonly leastFirstEvent: Milliseconds;
  readonly gap: Milliseconds;
}

export interface EstimateOptions {
  readonly promptTokens: number;
  readonly localDataCentre: string;
  /// The time of a prompt's activations on a link between data centres.
  readonly crossingTime: Milliseconds;
  /// The time of a request and its events on such a link.
  readonly entryCrossingTime: Milliseconds;
}

// An estimated utilisation above this value only means "full": it is as rough as the number of
// streams of one entry VM is small.
const maximumUtilisation = 0.9;
// Stages work independently, so a stream waits for half of the pass in progress on average.
const averagePassInProgress = 0.5;

/// Estimates a stream on `path`, whose engines are among `loads`. The stages
/// prefill the chunks of a prompt one behind the other, so that only the slowest one adds its time
/// for each further chunk.
export function estimatePath(
  path: readonly PathPart[],
  loads: ReadonlyMap<string, EngineLoad>,
  model: LayeredModel,
  { promptTokens, localDataCentre, crossingTime, entryCrossingTime }: EstimateOptions,
): PathEstimate {
  const chunks = Math.max(1, Math.ceil(promptTokens / model.maximumPrefillTokensPerPass));
  const chunkTokens = promptTokens / chunks;
  let firstEvent = 0;
  let gap = 0;
  let slowestPass = 0;
  let least = 0;
  let slowestPrefill = 0;
  let lateness = 0;
  let dataCentre = localDataCentre;
  for (const [index, { target, first, end }] of path.entries()) {
    const load = loads.get(target);
    if (load === undefined) continue;
    const layers = end - first;
    const decodingTime = model.stepsPerPass * layers * load.stepTime;
    const prefillTime = chunkTokens * layers * load.prefillTimePerToken;
    const passTime = decodingTime + prefillTime;
    const utilisation = Math.min(maximumUtilisation, load.prefillUtilisation);
    const queueingTime = (passTime * utilisation) / (1 - utilisation);
    // The passes of an engine prefill in proportion to its utilisation.
    const usualPass = decodingTime + utilisation * (passTime - decodingTime);
    const inProgress = averagePassInProgress * usualPass;
    firstEvent += passTime + inProgress + queueingTime;
    gap += usualPass + inProgress;
    slowestPass = Math.max(slowestPass, passTime);
    slowestPrefill = Math.max(slowestPrefill, prefillTime);
    lateness = Math.max(lateness, load.target.firstEventLateness);
    const isCrossing = load.target.dataCentre !== dataCentre;
    const linkTime = isCrossing ? (index === 0 ? entryCrossingTime : crossingTime) : 0;
    firstEvent += linkTime;
    least += linkTime + prefillTime;
    dataCentre = load.target.dataCentre;
  }
  return {
    firstEvent: firstEvent + (chunks - 1) * slowestPass + lateness,
    leastFirstEvent: least + (chunks - 1) * slowestPrefill + lateness,
    gap,
  };
}
