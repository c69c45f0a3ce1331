//! Selects the path of a stream from the available engines and describes the missing
//! layers when there is no path.
import type { LayeredModel, ServiceProfile } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import {
  findUncoveredLayers,
  formatLink,
  type LayerPathQuery,
  type PathPart,
} from "@lovagebend/routing";
import { estimateEngineLoad, type EngineLoad } from "./engine-cost.js";
import { estimatePath, type PathEstimate } from "./first-event-estimate.js";
import type { ChosenPath } from "./engine-path.js";
import { chooseSpreadPath, findQuickestPath, type StreamObjectives } from "./path-spread.js";
import { drawNearTargets } from "./searched-data-centres.js";
import type { AttemptServices } from "./routed-request.js";
import type { Target } from "./observed-target.js";

// The limit on the parts of a path in the published protocol.
const maximumParts = 32;
// A crossing between data centres within a path sends a prompt's activations, about 25 MB,
// over a link that all answers share and occupies it for 25 to 60 ms. One crossing for each
// answer would saturate the link, so crossings are for layers that are missing in the data
// centre and not for relieving full engines.
const crossingTime: Milliseconds = 800;
// A path that lies completely in another data centre costs little traffic, but occupies
// memory there that local callers could use.
const entryCrossingTime: Milliseconds = 15;
// The longest time for which a prompt's activations occupy the link between two data centres.
const activationTransferTime: Milliseconds = 60;

/// What a stream needs of its path.
export interface StreamNeeds {
  readonly promptTokens: number;
  readonly objectives: StreamObjectives;
}

const noNeeds: StreamNeeds = {
  promptTokens: 0,
  objectives: { firstEvent: Infinity, gap: Infinity },
};

export class StreamPaths {
  /// The time until a target that the last search within limits left out may take a request;
  /// `undefined` if it left none out.
  limitRetryAfter: Milliseconds | undefined;

  constructor(
    private readonly service: ServiceProfile,
    private readonly services: AttemptServices,
    private readonly needs: StreamNeeds = noNeeds,
  ) {}

  /// Chooses a path without the targets in `excluded`. If `firstPart` is given, the path begins
  /// with it, because a running answer keeps its first part.
  choose(
    firstPart: PathPart | undefined,
    excluded: readonly string[],
    notFirst: ReadonlySet<string> = new Set(),
    closedLinks: ReadonlySet<string> = new Set(),
  ): readonly PathPart[] | undefined {
    const { model } = this.service;
    if (model === undefined) return undefined;
    const query = { ...this.createQuery(model, firstPart, notFirst), closedLinks };
    return this.searchNearFirst(excluded, query, (targets) => {
      const loads = this.estimateLoads(targets, model);
      const loadsByName = new Map(loads.map((load) => [load.target.name, load]));
      return chooseSpreadPath(loads, {
        ...query,
        model,
        objectives: this.needs.objectives,
        estimate: (path) => this.estimateWith(path, loadsByName, model),
        random: this.random,
      });
    });
  }

  /// Like `choose`, without links between data centres of which this entry VM has used up its share.
  /// Takes the prompt out of the share of each link that the path crosses.
  chooseWithinLinks(
    firstPart: PathPart | undefined,
    excluded: readonly string[],
    notFirst?: ReadonlySet<string>,
  ): readonly PathPart[] | undefined {
    const closedLinks = new Set<string>();
    for (;;) {
      const path = this.choose(firstPart, excluded, notFirst, closedLinks);
      const closed = path === undefined ? undefined : this.findClosedLink(path);
      if (closed === undefined) return path;
      closedLinks.add(closed);
    }
  }

  // Returns the first link on `path` that may not be used.
  private findClosedLink(path: readonly PathPart[]): string | undefined {
    const { model } = this.service;
    const { targetRegistry, links, metrics, clock, entryVmCount } = this.services;
    if (model?.linkMegabitsPerSecond === undefined || model.activationBytesPerToken === undefined)
      return undefined;
    const transfer = {
      bytes: this.needs.promptTokens * model.activationBytesPerToken,
      megabitsPerSecond: model.linkMegabitsPerSecond,
      entryVms: entryVmCount(),
    };
    const now = clock.monotonicTime();
    let previous: string | undefined;
    for (const { target } of path) {
      const dataCentre = targetRegistry.get(target)?.dataCentre ?? previous;
      if (previous !== undefined && dataCentre !== undefined && dataCentre !== previous) {
        const link = formatLink(previous, dataCentre);
        const isAllowed = links.trySend(link, transfer, now);
        metrics.recordLinkTransfer(isAllowed);
        if (!isAllowed) return link;
      }
      previous = dataCentre;
    }
    return undefined;
  }

  /// Estimates the stream on `path`; `undefined` if a target of it is no longer listed.
  estimate(path: readonly PathPart[]): PathEstimate | undefined {
    const { model } = this.service;
    if (model === undefined) return undefined;
    const targets = path.flatMap(({ target }) => this.services.targetRegistry.get(target) ?? []);
    const loads = this.estimateLoads(targets, model);
    if (loads.length < path.length) return undefined;
    return this.estimateWith(path, new Map(loads.map((load) => [load.target.name, load])), model);
  }

  private estimateWith(
    path: readonly PathPart[],
    loads: ReadonlyMap<string, EngineLoad>,
    model: LayeredModel,
  ): PathEstimate {
    return estimatePath(path, loads, model, {
      promptTokens: this.needs.promptTokens,
      localDataCentre: this.services.dataCentre,
      crossingTime: activationTransferTime,
      entryCrossingTime,
    });
  }

  private get random(): () => number {
    return this.services.random ?? Math.random;
  }

  // Searches among the targets of a few data centres, and among all if they give no path.
  private searchNearFirst(
    excluded: readonly string[],
    { localDataCentre, firstPart }: LayerPathQuery,
    search: (targets: readonly Target[]) => readonly PathPart[] | undefined,
  ): readonly PathPart[] | undefined {
    const usable = this.findUsable(excluded);
    const kept = [...new Set([localDataCentre, firstPart?.dataCentre ?? localDataCentre])];
    const near = drawNearTargets(usable, kept, this.random);
    const path = search(near);
    return path === undefined && near.length < usable.length ? search(usable) : path;
  }

  private findUsable(excluded: readonly string[]): readonly Target[] {
    const excludedNames = new Set(excluded);
    return this.services.targetRegistry
      .getServingTargets(this.service.name)
      .filter(({ name }) => !excludedNames.has(name));
  }

  private estimateLoads(targets: readonly Target[], model: LayeredModel): readonly EngineLoad[] {
    const { clock, dataCentre, entryVmCount, localEntryVmCount } = this.services;
    const now = clock.monotonicTime();
    const sharing = { local: localEntryVmCount(), all: entryVmCount() };
    return targets.flatMap((target) => {
      const sharingEntryVms = target.dataCentre === dataCentre ? sharing.local : sharing.all;
      return estimateEngineLoad(target, model, sharingEntryVms, now) ?? [];
    });
  }

  private createQuery(
    model: LayeredModel,
    firstPart: PathPart | undefined,
    notFirst: ReadonlySet<string>,
  ): LayerPathQuery {
    const { targetRegistry, dataCentre } = this.services;
    const firstTarget = firstPart === undefined ? undefined : targetRegistry.get(firstPart.target);
    return {
      layers: model.layerCount,
      crossingTime,
      entryCrossingTime,
      localDataCentre: dataCentre,
      maximumParts,
      notFirst,
      ...(firstPart === undefined || firstTarget === undefined
        ? {}
        : { firstPart: { ...firstPart, dataCentre: firstTarget.dataCentre } }),
    };
  }

  /// The time until the first of the targets that recently refused requests may be used again;
  /// `undefined` if there is none.
  get refusalRetryAfter(): Milliseconds | undefined {
    const { targetRegistry, clock } = this.services;
    const now = clock.monotonicTime();
    const waits = targetRegistry
      .getServingTargets(this.service.name)
      .flatMap(({ refusingUntil }) => (refusingUntil > now ? [refusingUntil - now] : []));
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /// Like `choose` for a new dispatch. Takes the request out of the limit of the first target,
  /// the one that receives it.
  async chooseWithinLimits(excluded: readonly string[]): Promise<ChosenPath | undefined> {
    const { targetRegistry, requestLimiter, clock } = this.services;
    const notFirst = new Set<string>();
    this.limitRetryAfter = undefined;
    const leaveOut = (name: string, retryAfter: Milliseconds): void => {
      notFirst.add(name);
      this.limitRetryAfter = Math.min(this.limitRetryAfter ?? Infinity, retryAfter);
    };
    for (const target of targetRegistry.getServingTargets(this.service.name)) {
      const outcome = requestLimiter.check(target);
      if (outcome.kind === "denied") leaveOut(target.name, outcome.retryAfter);
    }
    for (;;) {
      const parts = this.chooseWithinLinks(undefined, excluded, notFirst);
      const first = parts?.[0] === undefined ? undefined : targetRegistry.get(parts[0].target);
      if (parts === undefined || first === undefined) return undefined;
      const chosenAt = clock.monotonicTime();
      const outcome = await requestLimiter.acquire(first);
      if (outcome.kind === "allowed") return { parts, chosenAt };
      leaveOut(first.name, outcome.retryAfter);
    }
  }

  /// Like `chooseWithinLimits`, without targets that recently refused requests.
  chooseWithoutRefusing(excluded: readonly string[]): Promise<ChosenPath | undefined> {
    return this.chooseWithinLimits([...excluded, ...this.findRefusing()]);
  }

  /// Whether there is a path whose first target may take a request within its limit.
  hasPath(excluded: readonly string[]): boolean {
    const { targetRegistry, requestLimiter } = this.services;
    const notFirst = targetRegistry
      .getServingTargets(this.service.name)
      .filter((target) => requestLimiter.check(target).kind === "denied")
      .map(({ name }) => name);
    const { model } = this.service;
    if (model === undefined) return false;
    const query = this.createQuery(model, undefined, new Set(notFirst));
    const path = this.searchNearFirst(excluded, query, (targets) =>
      findQuickestPath(this.estimateLoads(targets, model), query),
    );
    return path !== undefined;
  }

  /// Like `hasPath`, without targets that recently refused requests.
  hasPathWithoutRefusing(excluded: readonly string[]): boolean {
    return this.hasPath([...excluded, ...this.findRefusing()]);
  }

  private findRefusing(): string[] {
    const { targetRegistry, clock } = this.services;
    const now = clock.monotonicTime();
    return targetRegistry
      .getServingTargets(this.service.name)
      .filter(({ refusingUntil }) => refusingUntil > now)
      .map(({ name }) => name);
  }

  /// Describes which layers have no available holder, and which targets are excluded or
  /// suspected although they may hold layers.
  describeMissingPath(excluded: readonly string[]): string {
    const { targetRegistry, clock } = this.services;
    const { name: service, model } = this.service;
    const layers = model?.layerCount ?? 0;
    const describeUncovered = (targets: readonly Target[]) =>
      findUncoveredLayers(
        targets.flatMap(({ layers: range }) => (range === undefined ? [] : [{ layers: range }])),
        layers,
      )
        .map(({ first, end }) => `${first}-${end}`)
        .join(" ");
    const serving = targetRegistry
      .getServingTargets(service)
      .filter(({ name }) => !excluded.includes(name));
    const suspected = targetRegistry
      .getStayingTargets(service)
      .filter(({ suspectedUntil }) => suspectedUntil > clock.monotonicTime());
    return `Layers without an available holder: ${describeUncovered(serving)}; layers without a holder that isn't leaving: ${describeUncovered(targetRegistry.getStayingTargets(service))}; excluded targets: ${excluded.join(" ")}; suspected targets: ${suspected.map(({ name }) => name).join(" ")}.`;
  }
}
