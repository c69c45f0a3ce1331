//! Entry VMs that contend for a lease and give orders under it, with drifting clocks,
//! freezes and a store with faults.
import type { Logger, Milliseconds } from "@lovagebend/common";
import { Lease, reconcileVersions, type OrderTaker } from "@lovagebend/orders";
import { Result } from "true-myth";
import { drawTableFault, FakeTable, type TableFault } from "./fake-table.js";
import type { OrderSent } from "./judge.js";
import { FakeProcess, Simulation } from "./world.js";

export interface OrdersHistory {
  /// The orders as their senders sent them, each right after it looked at its lease.
  readonly sent: readonly OrderSent[];
  /// The orders that engines took, by engine.
  readonly taken: ReadonlyMap<
    string,
    readonly { readonly number: number; readonly checks: boolean }[]
  >;
  /// The versions that engines ended with, and how many loads each began.
  readonly versions: ReadonlyMap<string, { readonly version: string; readonly loads: number }>;
  readonly transcript: readonly string[];
}

/// What goes wrong. `freeze` is asked before each lease round and each order;
/// `orderAnswerLost` once for each order that an engine took.
export interface OrdersFaults {
  readonly tableFault: () => TableFault;
  readonly freeze: (moment: "round" | "order", holder: string) => Milliseconds;
  readonly orderAnswerLost: () => boolean;
  readonly clockRates: readonly number[];
  readonly loadTime: Milliseconds;
}

const names = ["entry-a", "entry-b", "entry-c"];
const duration: Milliseconds = 10_000;
const grace: Milliseconds = 2_000;
const runTime: Milliseconds = 120_000;
const drawnLoadTimes: readonly Milliseconds[] = [3_000, 100];
const longestFreeze: Milliseconds = 40_000;
const changeTimes: readonly Milliseconds[] = [5_000, 45_000];
// Clocks that drift apart by a twentieth of the lease; the grace covers a fifth.
const drawnRates = [0.98, 1, 1.03];

export function drawOrdersFaults(simulation: Simulation, oneIn: number): OrdersFaults {
  return {
    tableFault: () => drawTableFault(simulation, oneIn),
    freeze: () => (simulation.drawOneIn(oneIn) ? simulation.draw(longestFreeze) : 0),
    orderAnswerLost: () => simulation.drawOneIn(oneIn),
    clockRates: names.map(() => drawnRates[simulation.draw(drawnRates.length)] ?? 1),
    loadTime: drawnLoadTimes[simulation.draw(drawnLoadTimes.length)] ?? 0,
  };
}

class FakeOrderEngine {
  version = "v1";
  loading: string | null = null;
  loads = 0;
  highest = 0;
  readonly taken: { number: number; checks: boolean }[] = [];

  constructor(
    readonly name: string,
    readonly checks: boolean,
    private readonly simulation: Simulation,
    private readonly process: FakeProcess,
    private readonly loadTime: Milliseconds,
  ) {}

  take(number: number, version: string): boolean {
    if (this.checks && number < this.highest) {
      this.simulation.record(`${this.name}: refused order ${number}, has seen ${this.highest}`);
      return false;
    }
    this.highest = Math.max(this.highest, number);
    this.taken.push({ number, checks: this.checks });
    if (this.version !== version && this.loading !== version) void this.load(version);
    return true;
  }

  private async load(version: string): Promise<void> {
    this.loading = version;
    this.loads += 1;
    this.simulation.record(`${this.name}: loads ${version}`);
    await this.simulation.delay(this.process, this.loadTime);
    if (this.loading !== version) return;
    this.version = version;
    this.loading = null;
  }
}

/// Runs three contenders for two minutes, in which the wanted version changes twice.
export async function runOrders(
  simulation: Simulation,
  faults: OrdersFaults,
): Promise<OrdersHistory> {
  const sent: OrderSent[] = [];
  const platform = new FakeProcess("platform");
  const table = new FakeTable(simulation, platform, {
    nextFault: faults.tableFault,
    isOut: () => false,
  });
  const engines = ["engine-1", "engine-2", "engine-3"].map(
    (name, index) => new FakeOrderEngine(name, index !== 2, simulation, platform, faults.loadTime),
  );
  const wantedVersion = (): string =>
    `v${1 + changeTimes.filter((changeTime) => changeTime <= simulation.now).length}`;
  const end = new AbortController();
  let nonces = 0;
  const createNonce = (): string => {
    nonces += 1;
    return `nonce-${nonces}`;
  };
  const freeze = (process: FakeProcess, moment: "round" | "order"): void => {
    const time = faults.freeze(moment, process.name);
    if (time === 0) return;
    simulation.record(`${process.name} frozen for ${time} ms`);
    simulation.freeze(process, time);
  };
  const taker = (process: FakeProcess, engine: FakeOrderEngine): OrderTaker => ({
    name: engine.name,
    range: "0-6",
    state: async () => {
      await simulation.delay(process, 2);
      return Result.ok({ version: engine.version, loading: engine.loading });
    },
    order: async (fencingNumber, version) => {
      sent.push({ holder: process.name, number: fencingNumber, at: simulation.now });
      simulation.record(
        `${process.name} -> ${engine.name}: order ${fencingNumber}, load ${version}`,
      );
      freeze(process, "order");
      // A sender that freezes here has looked at its lease; its order leaves when it wakes.
      await simulation.delay(process, 1 + simulation.draw(10));
      const taken = engine.take(fencingNumber, version);
      if (taken && faults.orderAnswerLost()) {
        simulation.record(`${engine.name} -> ${process.name}: answer lost`);
        await simulation.delay(process, 1_000);
        return Result.err("silence");
      }
      await simulation.delay(process, 2);
      return taken ? Result.ok() : Result.err("stale");
    },
  });
  const contend = async (name: string, index: number): Promise<void> => {
    const process = new FakeProcess(name);
    const clock = simulation.createClock(process, faults.clockRates[index] ?? 1);
    const lease = new Lease({
      name: "advice",
      holder: name,
      table: table.connect(process),
      clock,
      createNonce,
      duration,
      grace,
    });
    const takers = engines.map((engine) => taker(process, engine));
    const wanted = () => {
      freeze(process, "round");
      return { version: wantedVersion(), engines: takers, contends: true };
    };
    await simulation.delay(process, index * 100);
    await reconcileVersions(lease, wanted, clock, silent, end.signal);
  };
  const all = async (): Promise<void> => {
    const contenders = names.map(contend);
    await simulation.delay(platform, runTime);
    end.abort();
    await Promise.all(contenders);
  };
  await simulation.run(all());
  return {
    sent,
    taken: new Map(engines.map(({ name, taken }) => [name, taken])),
    versions: new Map(engines.map(({ name, version, loads }) => [name, { version, loads }])),
    transcript: simulation.transcript,
  };
}

const silent: Logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
