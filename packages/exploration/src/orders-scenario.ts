//! Scenario for fencing: entry VMs contend for a lease and send orders to engines under it
//! while clocks drift, processes freeze and the store has faults.
import type { Logger, Milliseconds } from "@lovagebend/common";
import { Lease, reconcileVersions, type ManagedEngine } from "@lovagebend/orders";
import { Result } from "true-myth";
import { drawTableFault, FakeTable, type TableFault } from "./fake-table.js";
import type { SentOrder } from "./checker.js";
import { FakeProcess, Simulation } from "./simulation.js";

export interface OrdersHistory {
  /// The sent orders. Each was sent immediately after the sender checked its lease.
  readonly sentOrders: readonly SentOrder[];
  /// The accepted orders, by engine.
  readonly acceptedOrders: ReadonlyMap<
    string,
    readonly { readonly fencingNumber: number; readonly checksFencing: boolean }[]
  >;
  /// The final version of each engine, and the number of loads that it started.
  readonly versions: ReadonlyMap<string, { readonly version: string; readonly loadCount: number }>;
  readonly transcript: readonly string[];
}

/// The faults of a run. `chooseFreezeDuration` is called in each lease round and before each
/// order, `isOrderResponseLost` once for each order that an engine accepted.
export interface OrdersFaults {
  readonly chooseTableFault: () => TableFault;
  readonly chooseFreezeDuration: (moment: "round" | "order", holder: string) => Milliseconds;
  readonly isOrderResponseLost: () => boolean;
  readonly clockRates: readonly number[];
  readonly loadDuration: Milliseconds;
}

const entryVmNames = ["entry-a", "entry-b", "entry-c"];
const leaseDuration: Milliseconds = 10_000;
const leaseGracePeriod: Milliseconds = 2_000;
const runDuration: Milliseconds = 120_000;
const possibleLoadDurations: readonly Milliseconds[] = [3_000, 100];
const maximumFreeze: Milliseconds = 40_000;
const versionChangeTimes: readonly Milliseconds[] = [5_000, 45_000];
// Clocks drift apart by up to a twentieth of the lease; the grace period covers a drift
// of a fifth.
const possibleClockRates = [0.98, 1, 1.03];

export function drawOrdersFaults(simulation: Simulation, drawsPerFault: number): OrdersFaults {
  return {
    chooseTableFault: () => drawTableFault(simulation, drawsPerFault),
    chooseFreezeDuration: () =>
      simulation.drawOneIn(drawsPerFault) ? simulation.draw(maximumFreeze) : 0,
    isOrderResponseLost: () => simulation.drawOneIn(drawsPerFault),
    clockRates: entryVmNames.map(
      () => possibleClockRates[simulation.draw(possibleClockRates.length)] ?? 1,
    ),
    loadDuration: possibleLoadDurations[simulation.draw(possibleLoadDurations.length)] ?? 0,
  };
}

class FakeOrderEngine {
  version = "v1";
  loading: string | null = null;
  loadCount = 0;
  maximumFencingNumber = 0;
  readonly acceptedOrders: { fencingNumber: number; checksFencing: boolean }[] = [];

  constructor(
    readonly name: string,
    readonly checksFencing: boolean,
    private readonly simulation: Simulation,
    private readonly process: FakeProcess,
    private readonly loadDuration: Milliseconds,
  ) {}

  acceptOrder(fencingNumber: number, version: string): boolean {
    if (this.checksFencing && fencingNumber < this.maximumFencingNumber) {
      this.simulation.record(
        `${this.name}: refused order ${fencingNumber}, highest is ${this.maximumFencingNumber}`,
      );
      return false;
    }
    this.maximumFencingNumber = Math.max(this.maximumFencingNumber, fencingNumber);
    this.acceptedOrders.push({ fencingNumber, checksFencing: this.checksFencing });
    if (this.version !== version && this.loading !== version) void this.load(version);
    return true;
  }

  private async load(version: string): Promise<void> {
    this.loading = version;
    this.loadCount += 1;
    this.simulation.record(`${this.name}: loads ${version}`);
    await this.simulation.delay(this.process, this.loadDuration);
    if (this.loading !== version) return;
    this.version = version;
    this.loading = null;
  }
}

/// Runs three contenders for two simulated minutes, in which the desired version changes
/// twice.
export async function runOrders(
  simulation: Simulation,
  faults: OrdersFaults,
): Promise<OrdersHistory> {
  const sentOrders: SentOrder[] = [];
  const platform = new FakeProcess("platform");
  const table = new FakeTable(simulation, platform, {
    chooseFault: faults.chooseTableFault,
    isUnavailable: () => false,
  });
  const engines = ["engine-1", "engine-2", "engine-3"].map(
    (name, index) =>
      new FakeOrderEngine(name, index !== 2, simulation, platform, faults.loadDuration),
  );
  const getDesiredVersion = (): string =>
    `v${1 + versionChangeTimes.filter((changeTime) => changeTime <= simulation.now).length}`;
  const stopController = new AbortController();
  let nonceCount = 0;
  const createNonce = (): string => {
    nonceCount += 1;
    return `nonce-${nonceCount}`;
  };
  const freeze = (process: FakeProcess, moment: "round" | "order"): void => {
    const duration = faults.chooseFreezeDuration(moment, process.name);
    if (duration === 0) return;
    simulation.record(`${process.name} frozen for ${duration} ms`);
    simulation.freeze(process, duration);
  };
  const createManagedEngine = (process: FakeProcess, engine: FakeOrderEngine): ManagedEngine => ({
    name: engine.name,
    layerRange: "0-6",
    fetchState: async () => {
      await simulation.delay(process, 2);
      return Result.ok({ version: engine.version, loading: engine.loading });
    },
    sendOrder: async (fencingNumber, version) => {
      sentOrders.push({ holder: process.name, fencingNumber, at: simulation.now });
      simulation.record(
        `${process.name} -> ${engine.name}: order ${fencingNumber}, load ${version}`,
      );
      freeze(process, "order");
      // A sender that freezes here has already checked its lease; the engine receives the
      // order after the sender resumes.
      await simulation.delay(process, 1 + simulation.draw(10));
      const isAccepted = engine.acceptOrder(fencingNumber, version);
      if (isAccepted && faults.isOrderResponseLost()) {
        simulation.record(`${engine.name} -> ${process.name}: response lost`);
        await simulation.delay(process, 1_000);
        return Result.err("timeout");
      }
      await simulation.delay(process, 2);
      return isAccepted ? Result.ok() : Result.err("stale");
    },
  });
  const runContender = async (name: string, index: number): Promise<void> => {
    const process = new FakeProcess(name);
    const clock = simulation.createClock(process, faults.clockRates[index] ?? 1);
    const lease = new Lease({
      name: "advice",
      holder: name,
      table: table.connect(process),
      clock,
      createNonce,
      duration: leaseDuration,
      gracePeriod: leaseGracePeriod,
    });
    const managedEngines = engines.map((engine) => createManagedEngine(process, engine));
    const getDesiredState = () => {
      freeze(process, "round");
      return { version: getDesiredVersion(), engines: managedEngines, isContender: true };
    };
    await simulation.delay(process, index * 100);
    await reconcileVersions(lease, getDesiredState, clock, silentLogger, stopController.signal);
  };
  const runAll = async (): Promise<void> => {
    const contenders = entryVmNames.map(runContender);
    await simulation.delay(platform, runDuration);
    stopController.abort();
    await Promise.all(contenders);
  };
  await simulation.run(runAll());
  return {
    sentOrders,
    acceptedOrders: new Map(engines.map(({ name, acceptedOrders }) => [name, acceptedOrders])),
    versions: new Map(
      engines.map(({ name, version, loadCount }) => [name, { version, loadCount }]),
    ),
    transcript: simulation.transcript,
  };
}

const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
