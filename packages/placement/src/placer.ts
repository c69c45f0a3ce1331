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

/// An engine that takes part, with the start that it is in.
export type EngineView = PlacedEngine & { readonly born: number };

interface Ordered {
  readonly born: number;
  readonly layers: LayerRange;
  readonly at: Milliseconds;
}

/// How many orders an engine had accepted when it was last heard.
interface OrderCount {
  readonly born: number;
  readonly orders: number;
}

// An order whose effect is not seen by then is read back and perhaps given again: a load
// of the largest share takes about four seconds, and more when many load at once.
const orderPatience: Milliseconds = 6_000;
// The first plan waits until no engine has come for this long, as all of them start
// within a few seconds of each other.
const settleTime: Milliseconds = 900;

// Longer than from the start of a replacement to the notice of the engine it replaces.
const reserveTime: Milliseconds = 2_500;

export class Placer {
  private readonly ordered = new Map<string, Ordered>();
  private readonly counts = new Map<string, OrderCount>();
  private readonly inProgress = new Set<string>();
  private readonly emptySince = new Map<string, Milliseconds>();
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
    const asOrdered = engines.map((engine) => this.withReserve(this.withOrder(engine, now), now));
    for (const { name, layers } of planPlacement(asOrdered, model)) {
      const engine = engines.find((candidate) => candidate.name === name);
      if (engine !== undefined && !this.inProgress.has(name)) void this.order(engine, layers, now);
    }
  }

  private withReserve(engine: PlacedEngine, now: Milliseconds): PlacedEngine {
    if (engine.layers !== undefined) {
      this.emptySince.delete(engine.name);
      return engine;
    }
    const since = this.emptySince.get(engine.name) ?? now;
    this.emptySince.set(engine.name, since);
    return { ...engine, inReserve: now - since < reserveTime };
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
    const outcome = await this.give(engine, layers, this.expectedOrders(engine));
    if (outcome.kind !== "begun") await this.readBack(engine, layers);
    this.inProgress.delete(engine.name);
  }

  private async give(
    engine: EngineView,
    layers: LayerRange,
    expected: number,
  ): Promise<OrderOutcome> {
    const outcome = await this.orders.place(engine.name, layers, expected);
    this.logger.info("layers ordered", { target: engine.name, layers, expected, outcome });
    if (outcome.kind === "begun")
      this.counts.set(engine.name, { born: engine.born, orders: expected + 1 });
    return outcome;
  }

  // An engine that has just started has accepted none.
  private expectedOrders(engine: EngineView): number {
    const known = this.counts.get(engine.name);
    return known?.born === engine.born ? known.orders : 0;
  }

  // What the engine says itself decides whether the order is given again.
  private async readBack(engine: EngineView, layers: LayerRange): Promise<void> {
    const status = await this.orders.readStatus(engine.name);
    if (status.isErr) {
      this.logger.warn("engine not readable", { target: engine.name, reason: status.error });
      return;
    }
    const { isBusy, orders, born } = status.value;
    this.counts.set(engine.name, { born, orders });
    if (isBusy || born !== engine.born) return;
    if (status.value.layers !== undefined && sameRange(status.value.layers, layers)) return;
    await this.give(engine, layers, orders);
  }
}

function sameRange(left: LayerRange, right: LayerRange): boolean {
  return left.first === right.first && left.end === right.end;
}
