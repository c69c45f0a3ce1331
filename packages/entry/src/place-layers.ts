//! The task that places model layers on engines. One entry VM holds the placement role; the one that
//! would take over from it probes suspected engines too, so that it knows the lost ones already.
import type { TargetRegistry } from "@lovagebend/attempts";
import { ListedState, type LayeredModel } from "@lovagebend/catalog";
import { guardCallback, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import {
  EngineFailureDetector,
  isUsableEngine,
  LoadState,
  PlacementController,
  type EngineClient,
  type EngineView,
  type OrderedLoad,
  type OrderOutcome,
} from "@lovagebend/placement";
import { EngineWitnesses } from "./engine-witnesses.js";
import { PlacementRole, RolePart, TakeoverReason, type RolePeers } from "./placement-role.js";
import type { ReplicatedState } from "./replicated-state.js";
import { SuspicionReports } from "./suspicion-reports.js";

// A lost engine is found after two of these intervals and two probes.
const checkInterval: Milliseconds = 100;
// A later check shows that the process was paused or short of processor time. Probes have 150 ms.
const maximumCheckDelay: Milliseconds = 100;
// A starting entry VM first discovers its peers by gossip. Otherwise several entry VMs would
// send orders at the same time.
const discoveryDelay: Milliseconds = 1_500;

// A lost engine stays suspected until it answers, and not for much longer.
const lossSuspicionDuration: Milliseconds = 1_500;
const suspicionRenewal: Milliseconds = 500;

/// What placement needs of the other entry VMs.
export interface PlacementPeers extends RolePeers {
  findSuspectedTargets(): readonly string[];
}

export interface PlacementParts {
  readonly ownName: string;
  readonly targetRegistry: TargetRegistry;
  readonly replicatedState: Pick<ReplicatedState, "routes">;
  readonly peers: PlacementPeers;
  readonly engines: EngineClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/// A service with a model, and its engines that are listed and not leaving.
interface PlacedService {
  readonly name: string;
  readonly model: LayeredModel;
  readonly engines: readonly EngineView[];
}

export class LayerPlacement {
  onTakeover: (reason: TakeoverReason) => void = () => undefined;
  onOrder: (outcome: OrderOutcome["kind"]) => void = () => undefined;
  private readonly role: PlacementRole;
  private readonly reports: SuspicionReports;
  private readonly detector: EngineFailureDetector;
  private readonly controllers = new Map<string, PlacementController>();
  private readonly unreachable = new Set<string>();
  private inheritedLoads: readonly OrderedLoad[] | undefined;
  private part = RolePart.None;
  private lostCount = 0;

  constructor(private readonly parts: PlacementParts) {
    const { ownName, targetRegistry, peers, engines, clock, logger } = parts;
    this.role = new PlacementRole(ownName, peers, clock, logger);
    this.role.onTakeover = (reason, loads) => {
      this.controllers.clear();
      this.inheritedLoads = reason === TakeoverReason.First ? undefined : loads;
      this.onTakeover(reason);
    };
    this.reports = new SuspicionReports(
      peers,
      () => this.role.listResponsible().filter((name) => name !== ownName),
      clock,
      logger,
    );
    this.detector = new EngineFailureDetector(
      engines,
      logger,
      new EngineWitnesses(peers, engines, clock, (engine) => {
        const service = targetRegistry.get(engine)?.service;
        return service === undefined || targetRegistry.hasLinks(service);
      }),
    );
  }

  get isHolder(): boolean {
    return this.part === RolePart.Holder;
  }

  get lostEngineCount(): number {
    return this.isHolder ? this.lostCount : 0;
  }

  get loadsInProgress(): number {
    if (!this.isHolder) return 0;
    return [...this.controllers.values()].reduce((sum, each) => sum + each.loadsInProgress, 0);
  }

  /// Tells the entry VM that places layers which engines this one suspects.
  reportSuspicions(): void {
    const { targetRegistry } = this.parts;
    const engines = targetRegistry
      .getSuspectedTargets()
      .filter((name) => targetRegistry.get(name)?.card !== undefined);
    if (engines.length > 0) this.reports.report(engines);
  }

  /// Places layers while this entry VM holds the placement role, until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    const { clock, logger } = this.parts;
    const check = guardCallback(logger, "placement", () => {
      this.check();
    });
    await clock.sleep(discoveryDelay, signal);
    while (!signal.aborted) {
      const due = clock.monotonicTime() + checkInterval;
      await clock.sleep(checkInterval, signal);
      if (clock.monotonicTime() - due > maximumCheckDelay) this.recordDelay();
      check();
    }
  }

  private recordDelay(): void {
    this.detector.recordDelay();
    this.role.recordDelay();
  }

  private check(): void {
    this.part = this.role.check();
    switch (this.part) {
      case RolePart.None:
        return;
      case RolePart.Successor:
        this.probeEngines(this.listServices());
        return;
      case RolePart.Holder: {
        const services = this.listServices();
        this.probeEngines(services);
        this.place(services);
      }
    }
  }

  private place(services: readonly PlacedService[]): void {
    for (const name of this.controllers.keys())
      if (!services.some((service) => service.name === name)) this.controllers.delete(name);
    this.lostCount = 0;
    for (const { name, model, engines } of services) {
      const controller = this.getController(name);
      const lost = this.detector.findLostEngines(engines.map((engine) => engine.name));
      this.lostCount += lost.size;
      for (const engine of lost) this.suspectLost(engine);
      controller.retainEngines((engine) => this.parts.targetRegistry.get(engine)?.service === name);
      controller.reconcile(engines, model, lost);
    }
    this.inheritedLoads = undefined;
    const loads = [...this.controllers.values()].flatMap((each) => each.describeLoads());
    for (const { engine, born, layers, state } of loads)
      if (state === LoadState.Held)
        this.parts.targetRegistry.recordLoadedLayers(engine, born, layers);
    this.role.publish(loads);
  }

  // While the store is silent it goes on listing lost engines, and each entry VM would try them again
  // and again. A suspicion of this one reaches the others by gossip.
  private suspectLost(engine: string): void {
    const { targetRegistry, clock } = this.parts;
    const remaining = (targetRegistry.get(engine)?.suspectedUntil ?? 0) - clock.monotonicTime();
    if (remaining < suspicionRenewal)
      targetRegistry.suspect(engine, "lost: fails its probes", lossSuspicionDuration);
  }

  private probeEngines(services: readonly PlacedService[]): void {
    const { targetRegistry, peers } = this.parts;
    const names = new Set(services.flatMap(({ engines }) => engines.map(({ name }) => name)));
    this.detector.retainEngines([...names]);
    const suspected = [
      ...targetRegistry.getSuspectedTargets(),
      ...peers.findSuspectedTargets(),
      ...this.reports.findReported(),
      ...this.unreachable,
    ];
    this.unreachable.clear();
    this.detector.probeSuspected(suspected.filter((name) => names.has(name)));
  }

  // Each service has a controller of its own, since a first plan waits until the engines of its
  // service have started, and a model bounds its own loads.
  private getController(service: string): PlacementController {
    const existing = this.controllers.get(service);
    if (existing !== undefined) return existing;
    const { engines, clock, logger } = this.parts;
    const controller = new PlacementController(engines, clock, logger);
    controller.onUnreachable = (engine) => this.unreachable.add(engine);
    controller.onOrder = (outcome) => {
      this.onOrder(outcome);
    };
    if (this.inheritedLoads !== undefined) controller.takeOver(this.inheritedLoads);
    this.controllers.set(service, controller);
    return controller;
  }

  private listServices(): readonly PlacedService[] {
    const { replicatedState, targetRegistry } = this.parts;
    return [...(replicatedState.routes?.services.values() ?? [])].flatMap(({ name, model }) =>
      model === undefined
        ? []
        : [{ name, model, engines: findReadyEngines(targetRegistry, name, model) }],
    );
  }
}

function findReadyEngines(
  targetRegistry: TargetRegistry,
  service: string,
  model: LayeredModel,
): EngineView[] {
  return targetRegistry
    .getListedTargets(service)
    .filter(({ state }) => state === ListedState.Ready)
    .flatMap(({ name, dataCentre, card, listedLayers, born }) =>
      card === undefined ? [] : [{ name, dataCentre, card, layers: listedLayers, born }],
    )
    .filter((engine) => isUsableEngine(engine, model));
}
