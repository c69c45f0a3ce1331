//! Reconciles the layers of the engines with the plan by sending orders. Each order is
//! conditional on the number of orders that the engine had accepted when its status was last
//! read (optimistic concurrency control). A delayed order, or an order of a second controller
//! that runs at the same time, is therefore rejected when the engine has changed since.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import { runDetached, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { EngineClient, EngineStatus, OrderOutcome } from "./engine-client.js";
import { chooseLoads, defaultConcurrentLoads, type ChosenLoad } from "./load-order.js";
import {
  isSameRange,
  LoadRecords,
  LoadState,
  type EngineView,
  type OrderedLoad,
} from "./load-records.js";
import { describePlacement } from "./placement-summary.js";
import { planPlacement, type PlacedEngine, type Placement } from "./planner.js";

/// The number of orders that an engine had accepted according to its last answer.
interface OrderCount {
  readonly born: number;
  readonly orders: number;
}

// A plan and the state that it was made for.
interface PlanMade {
  readonly state: string;
  readonly placements: readonly Placement[];
}

// The first plan is delayed until the number of engines has been stable for this long,
// because all engines start within a few seconds of each other.
const stabilisationTime: Milliseconds = 900;

// A new engine is on standby for this long. It exceeds the time between the start of a
// replacement and the leaving notice of the engine that it replaces.
const standbyTime: Milliseconds = 2_500;

const noEngines: ReadonlySet<string> = new Set();

export class PlacementController {
  /// Called with an engine that doesn't report, so that it can be probed.
  onUnreachable: (engine: string) => void = () => undefined;
  /// Called with the outcome of each order.
  onOrder: (outcome: OrderOutcome["kind"]) => void = () => undefined;
  private readonly loads = new LoadRecords();
  private readonly acceptedOrders = new Map<string, OrderCount>();
  private readonly callsInProgress = new Set<string>();
  private readonly emptySince = new Map<string, Milliseconds>();
  private readonly plans = new WeakMap<LayeredModel, PlanMade>();
  private hasPredecessor = false;
  private hasSeenEngines = false;
  private engineCount = 0;
  private engineCountChangedAt: Milliseconds = 0;
  private runningLoads = 0;

  constructor(
    private readonly engineClient: EngineClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// The number of loads that run as far as is known.
  get loadsInProgress(): number {
    return this.runningLoads;
  }

  /// Takes the role over from another entry VM, which had ordered `loads`. Engines may have
  /// accepted orders that nobody else knows of, so that their reports are read before the first
  /// order to each.
  takeOver(loads: readonly OrderedLoad[]): void {
    this.hasPredecessor = true;
    this.hasSeenEngines = false;
    this.emptySince.clear();
    const now = this.clock.monotonicTime();
    for (const load of loads) {
      this.loads.adopt(load, now);
      if (load.orders !== undefined)
        this.acceptedOrders.set(load.engine, { born: load.born, orders: load.orders });
    }
    // The predecessor may have sent orders since the ones that this entry VM knows of.
    for (const engine of this.acceptedOrders.keys())
      if (!loads.some((load) => load.engine === engine && load.orders !== undefined))
        this.acceptedOrders.delete(engine);
  }

  /// The loads that the next holder of the role must know of, the latest first.
  describeLoads(): readonly OrderedLoad[] {
    const findOrders = (engine: string, born: number): number | undefined => {
      const known = this.acceptedOrders.get(engine);
      return known?.born === born ? known.orders : undefined;
    };
    return this.loads.describe(findOrders, this.clock.monotonicTime());
  }

  /// Removes what is known of engines for which `isListed` is false.
  retainEngines(isListed: (engine: string) => boolean): void {
    this.loads.retain(isListed);
    for (const known of [this.acceptedOrders, this.emptySince])
      for (const engine of known.keys()) if (!isListed(engine)) known.delete(engine);
  }

  /// Compares `engines` with the plan and sends the missing orders, without those in `lost`. The
  /// caller repeats this several times per second while this entry VM is responsible for
  /// placement.
  reconcile(
    engines: readonly EngineView[],
    model: LayeredModel,
    lost: ReadonlySet<string> = noEngines,
  ): void {
    const now = this.clock.monotonicTime();
    if (engines.length !== this.engineCount) this.engineCountChangedAt = now;
    this.engineCount = engines.length;
    const available = engines.filter(({ name }) => !lost.has(name));
    const isFirstPlan =
      engines.every(({ layers }) => layers === undefined) && this.loads.size === 0;
    if (isFirstPlan && now - this.engineCountChangedAt < stabilisationTime) return;
    const expected = available.map((engine) => {
      const layers = this.loads.findExpectedLayers(engine);
      return { ...engine, layers, isStandby: this.isStandby(engine, layers, lost, now) };
    });
    this.hasSeenEngines = true;
    for (const engine of available) this.checkLoad(engine, now);
    const running = this.loads.countRunning(available);
    this.runningLoads = running;
    const free = (model.maximumConcurrentLoads ?? defaultConcurrentLoads) - running;
    const placements = this.plan(expected, model).filter(
      ({ name }) => !this.callsInProgress.has(name),
    );
    for (const load of chooseLoads(placements, expected, model, free)) {
      const engine = available.find(({ name }) => name === load.name);
      if (engine === undefined) continue;
      this.loads.begin(engine, load.layers, model, now);
      this.call(engine, "layer order", () => this.orderLayers(engine, load));
    }
  }

  // The plan is a function of its input, so that it's made anew only when that has changed.
  private plan(engines: readonly PlacedEngine[], model: LayeredModel): readonly Placement[] {
    const state = engines
      .map(
        ({ name, dataCentre, card, layers, isStandby }) =>
          `${name} ${dataCentre} ${card} ${layers?.first} ${layers?.end} ${isStandby}`,
      )
      .join("\n");
    const made = this.plans.get(model);
    if (made?.state === state) return made.placements;
    const placements = planPlacement(engines, model);
    this.plans.set(model, { state, placements });
    if (placements.length > 0) this.logPlan(engines, placements, model);
    return placements;
  }

  private logPlan(
    engines: readonly PlacedEngine[],
    placements: readonly Placement[],
    model: LayeredModel,
  ): void {
    const planned = new Map(placements.map(({ name, layers }) => [name, layers]));
    const placed = engines.map((engine) => ({
      ...engine,
      layers: planned.get(engine.name) ?? engine.layers,
    }));
    this.logger.info("layers planned", {
      changes: placements.length,
      ...describePlacement(placed, model),
    });
  }

  // An engine is on standby only while it may replace one that leaves: not when it may replace a
  // lost one, nor when it was empty already as this entry VM took the role over.
  private isStandby(
    { name }: EngineView,
    layers: LayerRange | undefined,
    lost: ReadonlySet<string>,
    now: Milliseconds,
  ): boolean {
    if (layers !== undefined) {
      this.emptySince.delete(name);
      return false;
    }
    const isFirstView = this.hasPredecessor && !this.hasSeenEngines;
    const since = this.emptySince.get(name) ?? (isFirstView ? -Infinity : now);
    this.emptySince.set(name, since);
    return lost.size === 0 && now - since < standbyTime;
  }

  private call(engine: EngineView, task: string, run: () => Promise<void>): void {
    this.callsInProgress.add(engine.name);
    const running = run().finally(() => {
      this.callsInProgress.delete(engine.name);
    });
    runDetached(this.logger, task, running);
  }

  private async orderLayers(engine: EngineView, load: ChosenLoad): Promise<void> {
    const expected = this.findOrderCount(engine);
    if (expected === undefined) {
      await this.readAndOrder(engine, load);
      return;
    }
    const outcome = await this.sendOrder(engine, load, expected);
    if (outcome.kind !== "begun") await this.readAndOrder(engine, load);
  }

  private async sendOrder(
    engine: EngineView,
    { layers, closesGap }: ChosenLoad,
    expected: number,
  ): Promise<OrderOutcome> {
    const { name, born } = engine;
    const outcome = await this.engineClient.loadLayers(name, layers, expected);
    const running = this.runningLoads;
    this.logger.info("layers ordered", {
      target: name,
      layers,
      expected,
      outcome,
      closesGap,
      running,
    });
    this.onOrder(outcome.kind);
    if (outcome.kind === "begun") {
      this.acceptedOrders.set(name, { born, orders: expected + 1 });
      this.loads.markLoading(name);
    }
    return outcome;
  }

  // An engine that is empty and was first seen by this entry VM has accepted no orders. The count of
  // any other is known from its last answer, or not at all.
  private findOrderCount({ name, born, layers }: EngineView): number | undefined {
    const known = this.acceptedOrders.get(name);
    if (known?.born === born) return known.orders;
    return layers === undefined && !this.hasPredecessor ? 0 : undefined;
  }

  // Reads the engine's status, and sends the order only if the status shows that the engine neither
  // holds the layers nor works on an order.
  private async readAndOrder(engine: EngineView, load: ChosenLoad): Promise<void> {
    const { name, born } = engine;
    const status = await this.readStatus(engine);
    if (status === undefined) {
      this.loads.checkLater(name, this.clock.monotonicTime());
      return;
    }
    if (status.born !== born) {
      this.loads.drop(name);
      return;
    }
    if (status.isBusy) {
      this.loads.markLoading(name);
      this.loads.checkLater(name, this.clock.monotonicTime());
      return;
    }
    // An engine that holds other layers than the list shows is planned again with these.
    const { layers } = status;
    const isListed = layers === undefined || isSameListed(layers, engine.layers);
    if (layers !== undefined && (!isListed || isSameRange(layers, load.layers))) {
      this.loads.markHeld(engine, layers, this.clock.monotonicTime());
      return;
    }
    const outcome = await this.sendOrder(engine, load, status.orders);
    if (outcome.kind !== "begun") this.loads.checkLater(name, this.clock.monotonicTime());
  }

  private async readStatus({ name }: EngineView): Promise<EngineStatus | undefined> {
    const status = await this.engineClient.readStatus(name);
    if (status.isErr) {
      this.logger.warn("could not read the engine's status", {
        target: name,
        reason: status.error,
      });
      this.onUnreachable(name);
      return undefined;
    }
    const { born, orders } = status.value;
    this.acceptedOrders.set(name, { born, orders });
    return status.value;
  }

  private checkLoad(engine: EngineView, now: Milliseconds): void {
    if (this.callsInProgress.has(engine.name) || !this.loads.isDue(engine.name, now)) return;
    this.loads.checkLater(engine.name, now);
    this.call(engine, "load check", () => this.readLoad(engine));
  }

  // The list should show the load by now. It doesn't while the store is silent, or if the load takes
  // longer than usual, or if there is none.
  private async readLoad(engine: EngineView): Promise<void> {
    const { name, born } = engine;
    const status = await this.readStatus(engine);
    const expected = this.loads.findExpectedLayers(engine);
    if (status === undefined) {
      // The order of an engine that neither acknowledges it nor reports is not known to run.
      if (this.loads.getState(name) === LoadState.Ordered) this.loads.drop(name);
      return;
    }
    if (status.born !== born) {
      this.loads.drop(name);
    } else if (this.loads.getState(name) === undefined) {
      return;
    } else if (status.isBusy) {
      this.loads.markLoading(name);
    } else if (status.layers !== undefined && !isSameListed(status.layers, engine.layers)) {
      this.loads.markHeld(engine, status.layers, this.clock.monotonicTime());
    } else {
      const age = Math.round(this.loads.getAge(name, this.clock.monotonicTime()));
      this.logger.warn("layers not loaded", { target: name, layers: expected, age });
      this.loads.drop(name);
    }
  }
}

function isSameListed(layers: LayerRange, listed: LayerRange | undefined): boolean {
  return listed !== undefined && isSameRange(layers, listed);
}
