//! The loads that the placement role has ordered and that the list of targets doesn't show yet. The
//! list is late or silent while the store is, so a record is kept until the list shows the load, or
//! the engine's report shows that there is none. Records can be passed to the next holder of the role.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import type { Milliseconds } from "@lovagebend/common";
import type { PlacedEngine } from "./planner.js";

/// An engine that the plan may use, with the start of its process.
export type EngineView = PlacedEngine & { readonly born: number };

export enum LoadState {
  /// The order was sent, or is about to be; its outcome is not known.
  Ordered = "ordered",
  /// The engine has accepted the order, or is busy.
  Loading = "loading",
  /// The engine reports that it holds the layers.
  Held = "held",
}

/// A load as it is passed to other entry VMs. `orders` is the number of orders that the engine had
/// accepted after this one, if it is known. `age` is the time since the order.
export interface OrderedLoad {
  readonly engine: string;
  readonly born: number;
  readonly layers: LayerRange;
  readonly state: LoadState;
  readonly orders: number | undefined;
  readonly age: Milliseconds;
}

interface LoadRecord {
  readonly born: number;
  readonly layers: LayerRange;
  readonly orderedAt: Milliseconds;
  state: LoadState;
  /// When the engine's report is read to see what has become of the load.
  checkAt: Milliseconds;
  /// What the list showed when the engine reported the layers; a different entry is a later one.
  listedWhenHeld: LayerRange | undefined;
}

/// The time between two readings of the report of an engine that should have finished loading.
export const loadCheckInterval: Milliseconds = 500;
// A report is about 200 ms old. The list shows a load later, and not at all while the store is silent.
const reportMargin: Milliseconds = 250;

export class LoadRecords {
  private readonly records = new Map<string, LoadRecord>();

  get size(): number {
    return this.records.size;
  }

  /// Records a load that is ordered now.
  begin(engine: EngineView, layers: LayerRange, model: LayeredModel, now: Milliseconds): void {
    this.records.set(engine.name, {
      born: engine.born,
      layers,
      orderedAt: now,
      state: LoadState.Ordered,
      checkAt: now + getLoadTime(layers, model) + reportMargin,
      listedWhenHeld: undefined,
    });
  }

  /// Adds a load that an earlier holder of the role has ordered.
  adopt({ engine, born, layers, state, age }: OrderedLoad, now: Milliseconds): void {
    this.records.set(engine, {
      born,
      layers,
      orderedAt: now - age,
      // The report confirms a load that the earlier holder took for finished.
      state: state === LoadState.Held ? LoadState.Loading : state,
      checkAt: now,
      listedWhenHeld: undefined,
    });
  }

  drop(engine: string): void {
    this.records.delete(engine);
  }

  markLoading(engine: string): void {
    const record = this.records.get(engine);
    if (record !== undefined) record.state = LoadState.Loading;
  }

  /// Records that an engine reports `layers`, which the list doesn't show.
  markHeld(engine: EngineView, layers: LayerRange, now: Milliseconds): void {
    this.records.set(engine.name, {
      born: engine.born,
      layers,
      orderedAt: this.records.get(engine.name)?.orderedAt ?? now,
      state: LoadState.Held,
      checkAt: Infinity,
      listedWhenHeld: engine.layers,
    });
  }

  /// Has the engine's report read again after `loadCheckInterval`.
  checkLater(engine: string, now: Milliseconds): void {
    const record = this.records.get(engine);
    if (record !== undefined) record.checkAt = now + loadCheckInterval;
  }

  isDue(engine: string, now: Milliseconds): boolean {
    return (this.records.get(engine)?.checkAt ?? Infinity) <= now;
  }

  getState(engine: string): LoadState | undefined {
    return this.records.get(engine)?.state;
  }

  /// The time since the engine's load was ordered.
  getAge(engine: string, now: Milliseconds): Milliseconds {
    return now - (this.records.get(engine)?.orderedAt ?? now);
  }

  /// The layers that the engine holds or is loading. Drops its record when the list shows the
  /// load or a later state, or when the engine's process is another one.
  findExpectedLayers(engine: EngineView): LayerRange | undefined {
    const record = this.records.get(engine.name);
    if (record === undefined) return engine.layers;
    const isListed = engine.layers !== undefined && isSameRange(engine.layers, record.layers);
    const isOutdated =
      record.state === LoadState.Held && !isSameListing(engine.layers, record.listedWhenHeld);
    if (!isListed && !isOutdated && record.born === engine.born) return record.layers;
    this.records.delete(engine.name);
    return engine.layers;
  }

  /// The number of loads that run on `engines`, as far as is known.
  countRunning(engines: readonly EngineView[]): number {
    return engines.filter(({ name }) => {
      const state = this.records.get(name)?.state;
      return state === LoadState.Ordered || state === LoadState.Loading;
    }).length;
  }

  /// Removes the records of engines for which `isListed` is false.
  retain(isListed: (engine: string) => boolean): void {
    for (const engine of this.records.keys()) if (!isListed(engine)) this.records.delete(engine);
  }

  /// The loads for other entry VMs, the latest first.
  describe(
    findOrders: (engine: string, born: number) => number | undefined,
    now: Milliseconds,
  ): readonly OrderedLoad[] {
    return [...this.records]
      .map(([engine, { born, layers, state, orderedAt }]) => ({
        engine,
        born,
        layers,
        state,
        orders: findOrders(engine, born),
        age: Math.max(0, Math.round(now - orderedAt)),
      }))
      .sort((left, right) => left.age - right.age);
  }
}

export function isSameRange(left: LayerRange, right: LayerRange): boolean {
  return left.first === right.first && left.end === right.end;
}

function isSameListing(left: LayerRange | undefined, right: LayerRange | undefined): boolean {
  if (left === undefined || right === undefined) return left === right;
  return isSameRange(left, right);
}

function getLoadTime({ first, end }: LayerRange, model: LayeredModel): Milliseconds {
  return (model.loadTime * (end - first)) / model.layerCount;
}
