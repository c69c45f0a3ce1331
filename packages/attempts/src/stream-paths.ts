//! The paths that a stream may take at present.
import type { ServiceProfile } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import { findLayerPath, findUncoveredLayers, type PathPart } from "@lovagebend/routing";
import { estimateLayerHolder } from "./engine-cost.js";
import type { AttemptServices } from "./routed-request.js";
import type { Target } from "./target-book.js";

// The published bound on the parts of a path.
const maximumParts = 32;
// Crossing data centres within a path puts a prompt's activations on a pipe that all
// answers share: about 25 MB, or 25 to 60 ms of it. One crossing an answer would use it
// up, so that this is for layers that the data centre lacks, and not to spare full engines.
const crossingTime: Milliseconds = 800;
// A path that lies in another data centre as a whole costs little, but keeps that one's
// memory from its own callers.
const entryCrossingTime: Milliseconds = 15;

export class StreamPaths {
  constructor(
    private readonly service: ServiceProfile,
    private readonly services: AttemptServices,
  ) {}

  /// The quickest path by what is known, without the targets in `avoid`. With `firstPart`
  /// it begins with that part, which a running answer keeps.
  choose(
    firstPart: PathPart | undefined,
    excluded: readonly string[],
  ): readonly PathPart[] | undefined {
    const { book, clock, dataCentre, entryVmCount, localEntryVmCount } = this.services;
    const { model, name: service } = this.service;
    if (model === undefined) return undefined;
    const holders = book
      .servingTargets(service)
      .filter(({ name }) => !excluded.includes(name))
      .flatMap((target) => {
        const sharingEntryVms =
          target.dataCentre === dataCentre ? localEntryVmCount() : entryVmCount();
        return estimateLayerHolder(target, model, sharingEntryVms, clock.monotonic()) ?? [];
      });
    const firstTarget = firstPart === undefined ? undefined : book.get(firstPart.target);
    return findLayerPath(holders, {
      layers: model.layers,
      crossingTime,
      entryCrossingTime,
      localDataCentre: dataCentre,
      maximumParts,
      ...(firstPart === undefined || firstTarget === undefined
        ? {}
        : { firstPart: { ...firstPart, dataCentre: firstTarget.dataCentre } }),
    });
  }

  /// As `choose`, without the targets that have lately refused work.
  chooseWithoutRefusing(excluded: readonly string[]): readonly PathPart[] | undefined {
    const { book, clock } = this.services;
    const now = clock.monotonic();
    const refusing = book
      .servingTargets(this.service.name)
      .filter(({ refusingUntil }) => refusingUntil > now)
      .map(({ name }) => name);
    return this.choose(undefined, [...excluded, ...refusing]);
  }

  /// Names the layers that are missing, and the targets held back though they hold layers.
  describeMissingPath(excluded: readonly string[]): string {
    const { book, clock } = this.services;
    const { name: service, model } = this.service;
    const layers = model?.layers ?? 0;
    const describeUncovered = (targets: readonly Target[]) =>
      findUncoveredLayers(
        targets.flatMap(({ layers: range }) => (range === undefined ? [] : [{ layers: range }])),
        layers,
      )
        .map(({ first, end }) => `${first}-${end}`)
        .join(" ");
    const serving = book.servingTargets(service).filter(({ name }) => !excluded.includes(name));
    const suspected = book
      .stayingTargets(service)
      .filter(({ suspectedUntil: doubtedUntil }) => doubtedUntil > clock.monotonic());
    return `layers ${describeUncovered(serving)} have no holder to use; held by no staying target: ${describeUncovered(book.stayingTargets(service))}; avoided ${excluded.join(" ")}; doubted ${suspected.map(({ name }) => name).join(" ")}.`;
  }
}
