//! Keeps engines at the version their pipeline's settings name, under a lease for
//! each pipeline.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import { planLoads, type EngineVersion, type Lease } from "@lovagebend/orders";
import type { EngineDirectory } from "@lovagebend/pipeline";
import { TargetKind, type SettingsView } from "@lovagebend/settings";

const roundPause: Milliseconds = 2_000;
const mostLoading = 2;

/// Attends the lease of one pipeline and, while it is held, orders engines that serve
/// another version. An order whose answer was lost is not repeated blindly: the next
/// round reads the engine's state first.
export async function reconcileVersions(
  pipeline: string,
  lease: Lease,
  currentView: () => SettingsView,
  engines: EngineDirectory,
  clock: Clock,
  logger: Logger,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await lease.attend();
    const version = currentView().pipelines.get(pipeline)?.version;
    if (version !== undefined && lease.fencingNumber() !== undefined) {
      const states = await readStates(pipeline, currentView(), engines);
      for (const target of planLoads(states, version, mostLoading).order) {
        // Read again before each order: the lease may have lapsed since.
        const fencingNumber = lease.fencingNumber();
        if (fencingNumber === undefined) break;
        const outcome = await engines.control(target)?.order(fencingNumber, version);
        logger.info("load ordered", {
          target,
          version,
          fencingNumber,
          taken: outcome?.isOk === true,
        });
      }
    }
    await clock.sleep(roundPause, signal);
  }
  await lease.release();
}

async function readStates(
  pipeline: string,
  view: SettingsView,
  engines: EngineDirectory,
): Promise<EngineVersion[]> {
  const targets = [...view.targets].flatMap(([name, target]) =>
    target.kind === TargetKind.Engine && target.pipeline === pipeline ? [{ name, target }] : [],
  );
  const states = await Promise.all(
    targets.map(async ({ name, target }) => {
      const state = await engines.control(name)?.state();
      if (state?.isOk !== true) return [];
      const range = `${target.firstLayer}-${target.endLayer}`;
      return [{ target: name, range, ...state.value }];
    }),
  );
  return states.flat();
}
