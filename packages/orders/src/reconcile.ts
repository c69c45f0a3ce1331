//! Keeps engines at the version that the settings name, under a lease.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { Result, Unit } from "true-myth";
import type { Lease } from "./lease.js";
import { planLoads, type EngineVersion } from "./load-plan.js";

/// An engine that takes orders. The errors are reasons for people; no call throws.
export interface OrderTaker {
  readonly name: string;
  readonly range: string;
  state(): Promise<Result<{ version: string | null; loading: string | null }, string>>;
  order(fencingNumber: number, version: string): Promise<Result<Unit, string>>;
}

/// What is wanted now: the version, `undefined` when there is none to order, the engines
/// that should have it, and whether this entry VM contends for the lease.
export interface WantedVersion {
  readonly version: string | undefined;
  readonly engines: readonly OrderTaker[];
  readonly contends: boolean;
}

const roundPause: Milliseconds = 2_000;
const mostLoading = 2;

/// Attends the lease and, while it is held, orders engines that have another version.
/// An order whose answer was lost is not repeated blindly: the next round reads the
/// engine's state first.
export async function reconcileVersions(
  lease: Lease,
  wanted: () => WantedVersion,
  clock: Clock,
  logger: Logger,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const { version, engines, contends } = wanted();
    if (contends || lease.fencingNumber() !== undefined) await lease.attend();
    if (version !== undefined && lease.fencingNumber() !== undefined) {
      await orderRound(lease, version, engines, logger);
    }
    await clock.sleep(roundPause, signal);
  }
  await lease.release();
}

async function orderRound(
  lease: Lease,
  version: string,
  engines: readonly OrderTaker[],
  logger: Logger,
): Promise<void> {
  const states = await readStates(engines);
  for (const name of planLoads(states, version, mostLoading).order) {
    // Looked at before each order: the lease may have lapsed since the last.
    const fencingNumber = lease.fencingNumber();
    if (fencingNumber === undefined) return;
    const engine = engines.find((candidate) => candidate.name === name);
    const outcome = await engine?.order(fencingNumber, version);
    const taken = outcome?.isOk === true;
    logger.info("load ordered", { target: name, version, fencingNumber, taken });
  }
}

async function readStates(engines: readonly OrderTaker[]): Promise<EngineVersion[]> {
  const states = await Promise.all(
    engines.map(async (engine) => {
      const state = await engine.state();
      return state.isOk ? [{ target: engine.name, range: engine.range, ...state.value }] : [];
    }),
  );
  return states.flat();
}
