//! The task that brings engines to the plan. Orders carry the count of orders that the
//! engine had accepted when it was last read, so that one which takes effect late, or a
//! second placer that believes it is in charge, changes nothing that it has not seen.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { Result } from "true-myth";
import { planPlacement, type PlacedEngine } from "./planner.js";

/// What an engine says of itself. `born` changes with each start.
export interface EngineStatus {
  readonly born: number;
  readonly orders: number;
  readonly isBusy: boolean;
  readonly layers: LayerRange | undefined;
}

/// `begun`: the engine loads, or holds the layers already. `conflict`: its count of
/// orders differs, or the order does not fit its state. `unknown`: no answer; the order
/// may still take effect.
export type OrderOutcome =
  | { readonly kind: "begun" }
  | { readonly kind: "conflict"; readonly status: number }
  | { readonly kind: "unknown"; readonly reason: string };

/// The calls that the placer makes to engines. No method throws.
export interface EngineOrders {
  readStatus(engine: string): Promise<Result<EngineStatus, string>>;
  place(engine: string, layers: LayerRange, expectedOrders: number): Promise<OrderOutcome>;
}

/// The engines that take part, with their counts of orders and starts.
export type EngineView = PlacedEngine & { readonly born: number; readonly orders: number };

interface Ordered {
  readonly born: number;
  readonly layers: LayerRange;
  readonly at: Milliseconds;
}

// An order whose effect is not seen by then is read back and perhaps given again: a load
// of the largest share takes about four seconds, and more when many load at once.
const orderPatience: Milliseconds = 6_000;
// The first plan waits until no engine has come for this long, as all of them start
// within a few seconds of each other.
const settleTime: Milliseconds = 900;

export class Placer {
  private readonly ordered = new Map<string, Ordered>();
  private readonly inProgress = new Set<string>();
  private knownCount = 0;
  private changedAt: Milliseconds = 0;

  constructor(
    private readonly orders: EngineOrders,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Compares `engines` with the plan and gives the orders that are missing. To be called
  /// a few times a second while this entry VM is in charge.
  step(engines: readonly EngineView[], model: LayeredModel): void {
    const now = this.clock.monotonic();
    if (engines.length !== this.knownCount) this.changedAt = now;
    this.knownCount = engines.length;
    const isFresh = engines.every(({ layers }) => layers === undefined) && this.ordered.size === 0;
    if (isFresh && now - this.changedAt < settleTime) return;
    const asOrdered = engines.map((engine) => this.withOrder(engine, now));
    for (const { name, layers } of planPlacement(asOrdered, model)) {
      const engine = engines.find((candidate) => candidate.name === name);
      if (engine !== undefined && !this.inProgress.has(name)) void this.order(engine, layers, now);
    }
  }

  private withOrder(engine: EngineView, now: Milliseconds): PlacedEngine {
    const ordered = this.ordered.get(engine.name);
    if (ordered === undefined) return engine;
    const isDone = engine.layers !== undefined && sameRange(engine.layers, ordered.layers);
    if (isDone || ordered.born !== engine.born || now - ordered.at > orderPatience) {
      this.ordered.delete(engine.name);
      return engine;
    }
    return { ...engine, layers: ordered.layers };
  }

  private async order(engine: EngineView, layers: LayerRange, now: Milliseconds): Promise<void> {
    this.inProgress.add(engine.name);
    this.ordered.set(engine.name, { born: engine.born, layers, at: now });
    const outcome = await this.orders.place(engine.name, layers, engine.orders);
    this.logger.info("layers ordered", {
      target: engine.name,
      layers,
      expected: engine.orders,
      outcome,
    });
    if (outcome.kind !== "begun") await this.readBack(engine, layers, now);
    this.inProgress.delete(engine.name);
  }

  // The list lags behind the engine: what it says itself decides whether the order is
  // given again.
  private async readBack(engine: EngineView, layers: LayerRange, now: Milliseconds): Promise<void> {
    const status = await this.orders.readStatus(engine.name);
    if (status.isErr) {
      this.logger.warn("engine not readable", { target: engine.name, reason: status.error });
      return;
    }
    const { isBusy, orders, born } = status.value;
    if (isBusy || born !== engine.born) return;
    const again = await this.orders.place(engine.name, layers, orders);
    this.logger.info("layers ordered again", {
      target: engine.name,
      layers,
      expected: orders,
      outcome: again,
    });
    if (again.kind === "begun") this.ordered.set(engine.name, { born, layers, at: now });
  }
}

function sameRange(left: LayerRange, right: LayerRange): boolean {
  return left.first === right.first && left.end === right.end;
}
