//! The reconciliation loop that brings engines to the model version that the settings
//! specify. One entry VM at a time sends the orders, under a lease.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { Result, Unit } from "true-myth";
import type { Lease } from "./lease.js";
import { planLoads, type EngineLoadState } from "./load-plan.js";

/// An engine that accepts orders to load a model version. `layerRange` identifies its
/// layers. Errors are texts for people; no method throws.
export interface ManagedEngine {
  readonly name: string;
  readonly layerRange: string;
  fetchState(): Promise<Result<{ version: string | null; loading: string | null }, string>>;
  sendOrder(fencingNumber: number, version: string): Promise<Result<Unit, string>>;
}

/// The desired state: the model version, `undefined` if no version should be loaded, and the
/// engines that should serve it. `isContender` is true if this entry VM should try to acquire
/// the lease.
export interface DesiredState {
  readonly version: string | undefined;
  readonly engines: readonly ManagedEngine[];
  readonly isContender: boolean;
}

const reconcileInterval: Milliseconds = 2_000;
const maximumConcurrentLoads = 2;

/// Acquires or renews the lease and, while it is held, orders engines that serve another
/// version to load the desired one. An order without a response is not sent again until
/// the next round has read the engine's state. Releases the lease when `signal` aborts.
export async function reconcileVersions(
  lease: Lease,
  getDesiredState: () => DesiredState,
  clock: Clock,
  logger: Logger,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const { version, engines, isContender } = getDesiredState();
    if (isContender || lease.fencingNumber() !== undefined) await lease.acquireOrRenew();
    if (version !== undefined && lease.fencingNumber() !== undefined) {
      await orderLoads(lease, version, engines, logger);
    }
    await clock.sleep(reconcileInterval, signal);
  }
  await lease.release();
}

async function orderLoads(
  lease: Lease,
  version: string,
  engines: readonly ManagedEngine[],
  logger: Logger,
): Promise<void> {
  const states = await readStates(engines);
  for (const name of planLoads(states, version, maximumConcurrentLoads).targets) {
    // Checked before each order, since the lease may have expired after the previous one.
    const fencingNumber = lease.fencingNumber();
    if (fencingNumber === undefined) return;
    const engine = engines.find((candidate) => candidate.name === name);
    const outcome = await engine?.sendOrder(fencingNumber, version);
    const isAccepted = outcome?.isOk === true;
    logger.info("load ordered", { target: name, version, fencingNumber, taken: isAccepted });
  }
}

async function readStates(engines: readonly ManagedEngine[]): Promise<EngineLoadState[]> {
  const states = await Promise.all(
    engines.map(async (engine) => {
      const state = await engine.fetchState();
      return state.isOk
        ? [{ target: engine.name, layerRange: engine.layerRange, ...state.value }]
        : [];
    }),
  );
  return states.flat();
}
