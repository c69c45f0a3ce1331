//! The control loop that places model layers on engines. One entry VM holds the placement
//! role; when its gossip facts expire, another entry VM takes the role over.
import type { TargetRegistry } from "@lovagebend/attempts";
import { ListedState, type LayeredModel } from "@lovagebend/catalog";
import type { Clock, Milliseconds } from "@lovagebend/common";
import {
  isUsableEngine,
  type EngineView,
  type EngineFailureDetector,
  type PlacementController,
} from "@lovagebend/placement";
import type { ReplicatedState } from "./replicated-state.js";
import type { Peers } from "./peers.js";

const placementRole = "placement";
const placementInterval: Milliseconds = 200;
// A starting entry VM first discovers its peers by gossip. Otherwise several entry VMs would
// send orders at the same time.
const discoveryDelay: Milliseconds = 1_500;

export interface PlacementParts {
  readonly targetRegistry: TargetRegistry;
  readonly replicatedState: ReplicatedState;
  readonly peers: Peers;
  readonly placementController: PlacementController;
  readonly engineFailureDetector: EngineFailureDetector;
  readonly clock: Clock;
}

/// Places layers while this entry VM holds the placement role, until `signal` aborts.
export async function placeLayers(
  {
    targetRegistry,
    replicatedState,
    peers,
    placementController,
    engineFailureDetector,
    clock,
  }: PlacementParts,
  signal: AbortSignal,
): Promise<void> {
  await clock.sleep(discoveryDelay, signal);
  while (!signal.aborted) {
    await clock.sleep(placementInterval, signal);
    if (!peers.directory.hasRole(placementRole)) continue;
    const models = [...(replicatedState.routes?.services.values() ?? [])].flatMap(
      ({ name, model }) =>
        model === undefined
          ? []
          : [{ model, engines: findReadyEngines(targetRegistry, name, model) }],
    );
    const engineNames = new Set(models.flatMap(({ engines }) => engines.map(({ name }) => name)));
    engineFailureDetector.retainEngines([...engineNames]);
    engineFailureDetector.probeSuspected(
      [...targetRegistry.getSuspectedTargets(), ...peers.findSuspectedTargets()].filter((name) =>
        engineNames.has(name),
      ),
    );
    for (const { model, engines } of models) {
      const lost = engineFailureDetector.findLostEngines(engines.map(({ name }) => name));
      placementController.reconcile(
        engines.filter(({ name }) => !lost.has(name)),
        model,
      );
    }
  }
}

function findReadyEngines(
  targetRegistry: TargetRegistry,
  service: string,
  model: LayeredModel,
): EngineView[] {
  return targetRegistry
    .getListedTargets(service)
    .filter(({ state }) => state === ListedState.Ready)
    .flatMap(({ name, dataCentre, card, layers, born }) =>
      card === undefined ? [] : [{ name, dataCentre, card, layers, born }],
    )
    .filter((engine) => isUsableEngine(engine, model));
}
