//! Reconciles the layers of the engines with the plan by sending orders. Each order is
//! conditional on the number of orders that the engine had accepted when its status was last
//! read (optimistic concurrency control). A delayed order, or an order of a second controller
//! that runs at the same time, is therefore rejected when the engine has changed since.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import { runDetached, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { Result } from "true-myth";
import { planPlacement, type PlacedEngine } from "./planner.js";

/// The status that an engine reports. `born` identifies the start of its process, `orders` is
/// the number of orders that it has accepted since.
export interface EngineStatus {
  readonly born: number;
  readonly orders: number;
  readonly isBusy: boolean;
  readonly layers: LayerRange | undefined;
}

/// `begun`: the engine is loading the layers or already holds them. `conflict`: the engine
/// has accepted a different number of orders, or its state does not allow the order.
/// `unknown`: no answer arrived, and the order may still take effect.
export type OrderOutcome =
  | { readonly kind: "begun" }
  | { readonly kind: "conflict"; readonly status: number }
  | { readonly kind: "unknown"; readonly reason: string };

/// The calls to engines that placement needs. The methods report failures in their results
/// and never reject.
export interface EngineClient {
  readStatus(engine: string): Promise<Result<EngineStatus, string>>;
  loadLayers(engine: string, layers: LayerRange, expectedOrders: number): Promise<OrderOutcome>;
}

/// An engine that the plan may use, with the start of its process.
export type EngineView = PlacedEngine & { readonly born: number };

interface PendingOrder {
  readonly born: number;
  readonly layers: LayerRange;
  readonly sentAt: Milliseconds;
}

/// The number of orders that an engine had accepted according to its last answer.
interface OrderCount {
  readonly born: number;
  readonly orders: number;
}

// After this time a pending order without a visible effect is dropped, and the engine is
// planned again and may get a new order. Loading the largest range takes about four seconds,
// and longer when many engines load at the same time.
const orderTimeout: Milliseconds = 6_000;
// The first plan is delayed until the number of engines has been stable for this long,
// because all engines start within a few seconds of each other.
const stabilisationTime: Milliseconds = 900;

// A new engine is on standby for this long. It exceeds the time between the start of a
// replacement and the leaving notice of the engine that it replaces.
const standbyTime: Milliseconds = 2_500;

export class PlacementController {
  private readonly pendingOrders = new Map<string, PendingOrder>();
  private readonly acceptedOrders = new Map<string, OrderCount>();
  private readonly ordersInProgress = new Set<string>();
  private readonly emptySince = new Map<string, Milliseconds>();
  private engineCount = 0;
  private engineCountChangedAt: Milliseconds = 0;

  constructor(
    private readonly engineClient: EngineClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Compares `engines` with the plan and sends the missing orders. The caller repeats this
  /// several times per second while this entry VM is responsible for placement.
  reconcile(engines: readonly EngineView[], model: LayeredModel): void {
    const now = this.clock.monotonicTime();
    if (engines.length !== this.engineCount) this.engineCountChangedAt = now;
    this.engineCount = engines.length;
    const isFirstPlan =
      engines.every(({ layers }) => layers === undefined) && this.pendingOrders.size === 0;
    if (isFirstPlan && now - this.engineCountChangedAt < stabilisationTime) return;
    const expectedEngines = engines.map((engine) =>
      this.withStandbyState(this.withPendingOrder(engine, now), now),
    );
    for (const { name, layers } of planPlacement(expectedEngines, model)) {
      const engine = engines.find((candidate) => candidate.name === name);
      if (engine !== undefined && !this.ordersInProgress.has(name))
        runDetached(this.logger, "layer order", this.orderLayers(engine, layers, now));
    }
  }

  private withStandbyState(engine: PlacedEngine, now: Milliseconds): PlacedEngine {
    if (engine.layers !== undefined) {
      this.emptySince.delete(engine.name);
      return engine;
    }
    const since = this.emptySince.get(engine.name) ?? now;
    this.emptySince.set(engine.name, since);
    return { ...engine, isStandby: now - since < standbyTime };
  }

  private withPendingOrder(engine: EngineView, now: Milliseconds): PlacedEngine {
    const pending = this.pendingOrders.get(engine.name);
    if (pending === undefined) return engine;
    const isComplete = engine.layers !== undefined && isSameRange(engine.layers, pending.layers);
    if (isComplete || pending.born !== engine.born || now - pending.sentAt > orderTimeout) {
      this.pendingOrders.delete(engine.name);
      return engine;
    }
    return { ...engine, layers: pending.layers };
  }

  private async orderLayers(
    engine: EngineView,
    layers: LayerRange,
    now: Milliseconds,
  ): Promise<void> {
    this.ordersInProgress.add(engine.name);
    this.pendingOrders.set(engine.name, { born: engine.born, layers, sentAt: now });
    try {
      const outcome = await this.sendOrder(engine, layers, this.expectedOrderCount(engine));
      if (outcome.kind !== "begun") await this.readBackAndRetry(engine, layers);
    } finally {
      this.ordersInProgress.delete(engine.name);
    }
  }

  private async sendOrder(
    engine: EngineView,
    layers: LayerRange,
    expected: number,
  ): Promise<OrderOutcome> {
    const outcome = await this.engineClient.loadLayers(engine.name, layers, expected);
    this.logger.info("layers ordered", { target: engine.name, layers, expected, outcome });
    if (outcome.kind === "begun")
      this.acceptedOrders.set(engine.name, { born: engine.born, orders: expected + 1 });
    return outcome;
  }

  // Without a count for this start of its process the engine has accepted no orders.
  private expectedOrderCount(engine: EngineView): number {
    const known = this.acceptedOrders.get(engine.name);
    return known?.born === engine.born ? known.orders : 0;
  }

  // Reads the engine's status, and sends the order again only if the status shows that the
  // order has not taken effect.
  private async readBackAndRetry(engine: EngineView, layers: LayerRange): Promise<void> {
    const status = await this.engineClient.readStatus(engine.name);
    if (status.isErr) {
      this.logger.warn("could not read the engine's status", {
        target: engine.name,
        reason: status.error,
      });
      return;
    }
    const { isBusy, orders, born } = status.value;
    this.acceptedOrders.set(engine.name, { born, orders });
    if (isBusy || born !== engine.born) return;
    if (status.value.layers !== undefined && isSameRange(status.value.layers, layers)) return;
    await this.sendOrder(engine, layers, orders);
  }
}

function isSameRange(left: LayerRange, right: LayerRange): boolean {
  return left.first === right.first && left.end === right.end;
}
