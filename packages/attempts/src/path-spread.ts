//! Spreads streams over the engines that can take them. The path with the minimum expected time leads
//! through the few fastest engines until they are nearly full, so that the loss of one of them
//! stalls most streams of a data centre. While a path keeps the objectives, its speed does not count:
//! paths are compared by the room on their engines and by their number of stages, each of which may
//! fail. Entry VMs choose independently, so the costs are drawn at random to keep them apart.
import type { LayeredModel } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import {
  LayerPathSearch,
  type LayerHolder,
  type LayerPathQuery,
  type PathPart,
} from "@lovagebend/routing";
import { createLayerHolder, type EngineLoad } from "./engine-cost.js";
import type { PathEstimate } from "./first-event-estimate.js";

/// What a stream has to keep for its full value.
export interface StreamObjectives {
  readonly firstEvent: Milliseconds;
  readonly gap: Milliseconds;
}

export interface SpreadQuery extends LayerPathQuery {
  readonly model: LayeredModel;
  readonly objectives: StreamObjectives;
  /// Estimates what a caller sees of a stream on a path.
  readonly estimate: (path: readonly PathPart[]) => PathEstimate;
  /// Returns a number from 0 to 1.
  readonly random: () => number;
}

// The cost of a further stage, as a part of a step through all layers. Each stage is one more engine
// whose loss makes the stream late. With 0.07 paths had 8.6 stages on the small hard day on which
// they have 7.3 with this value, and more streams paused for too long.
const stageTimeInSteps = 0.3;
// An engine without load may cost up to three times as much in one draw as in another. With up to
// twice, the busiest first engine got 2.0 times the mean in this trial instead of 1.5 times.
const randomShare = 2;
// The path of the least cost among two draws is taken: one draw alone prefers by chance an engine
// with little room.
const draws = 2;
// With fewer holders of some layer in the data centre there are hardly two paths that share no engine.
// Spreading then only makes paths longer: on a hard day of a data centre with one or two holders the
// worth fell from 0.68 to 0.61.
const minimumHolders = 3;
// The estimate does not know what other entry VMs have just begun.
const objectiveMargin = 0.6;

/// Chooses a path at random among those that keep the objectives with a margin, preferring engines
/// with room and few stages. Returns the path with the minimum expected time if the chosen one does
/// not keep them.
export function chooseSpreadPath(
  loads: readonly EngineLoad[],
  query: SpreadQuery,
): readonly PathPart[] | undefined {
  if (countFewestHolders(loads, query) < minimumHolders) return findQuickestPath(loads, query);
  const path = drawPath(loads, query);
  if (path === undefined) return undefined;
  const { firstEvent, gap } = query.estimate(path);
  const { objectives } = query;
  const keepsObjectives =
    firstEvent <= objectives.firstEvent * objectiveMargin &&
    gap <= objectives.gap * objectiveMargin;
  return keepsObjectives ? path : findQuickestPath(loads, query);
}

// The number of holders in the local data centre of the layer that has fewest.
function countFewestHolders(
  loads: readonly EngineLoad[],
  { layers, localDataCentre }: SpreadQuery,
): number {
  const counts = new Array<number>(layers).fill(0);
  for (const { target, layers: held } of loads) {
    if (target.dataCentre !== localDataCentre) continue;
    for (let layer = held.first; layer < held.end; layer += 1)
      counts[layer] = (counts[layer] ?? 0) + 1;
  }
  return Math.min(...counts);
}

/// Returns the path with the minimum expected time.
export function findQuickestPath(
  loads: readonly EngineLoad[],
  query: LayerPathQuery,
): readonly PathPart[] | undefined {
  return new LayerPathSearch(loads.map(createLayerHolder), query).find();
}

function drawPath(
  loads: readonly EngineLoad[],
  query: SpreadQuery,
): readonly PathPart[] | undefined {
  const { model, random } = query;
  const search = new LayerPathSearch(
    loads.map((load) => createSpreadHolder(load, model)),
    query,
  );
  const rooms = loads.map(getRoom);
  let best: readonly PathPart[] | undefined;
  let bestTime = Infinity;
  for (let draw = 0; draw < draws; draw += 1) {
    // Chance decides between engines with room, and not for one that is nearly full.
    const path = search.find(rooms.map((room) => 1 + randomShare * room * random()));
    if (path === undefined) return undefined;
    const time = search.getTime(path);
    if (time >= bestTime) continue;
    best = path;
    bestTime = time;
  }
  return best;
}

// The costs of an engine whatever its card. They rise beyond saturation, so that streams spread over
// full engines too.
function createSpreadHolder(load: EngineLoad, model: LayeredModel): LayerHolder {
  const { target, layers, penalty } = load;
  const congestion = load.congestion * (1 + Math.max(0, getUtilisation(load) - 1));
  return {
    name: target.name,
    dataCentre: target.dataCentre,
    layers,
    layerTime: (model.stepTime / model.layerCount) * congestion,
    visitTime: model.stepTime * stageTimeInSteps * congestion + penalty,
  };
}

function getRoom(load: EngineLoad): number {
  return Math.max(0, 1 - getUtilisation(load));
}

function getUtilisation({ prefillUtilisation, memoryUtilisation }: EngineLoad): number {
  return Math.max(prefillUtilisation, memoryUtilisation);
}
