//! The control loop that places model layers on engines. One entry VM holds the placement
//! role; when its gossip facts expire, another entry VM takes the role over.
import type { TargetBook } from "@lovagebend/attempts";
import { ListedState } from "@lovagebend/catalog";
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { EngineView, LossWatch, Placer } from "@lovagebend/placement";
import type { ReplicatedState } from "./knowledge.js";
import type { Peers } from "./peers.js";

const placementRole = "placement";
const placementInterval: Milliseconds = 200;
// A starting entry VM first discovers its peers by gossip. Otherwise several entry VMs would
// send orders at the same time.
const discoveryDelay: Milliseconds = 1_500;

export interface PlacementParts {
  readonly book: TargetBook;
  readonly replicatedState: ReplicatedState;
  readonly peers: Peers;
  readonly placer: Placer;
  readonly losses: LossWatch;
  readonly clock: Clock;
}

/// Places layers while this entry VM holds the placement role, until `signal` aborts.
export async function placeLayers(
  { book, replicatedState, peers, placer, losses, clock }: PlacementParts,
  signal: AbortSignal,
): Promise<void> {
  await clock.sleep(discoveryDelay, signal);
  while (!signal.aborted) {
    await clock.sleep(placementInterval, signal);
    if (!peers.hasRole(placementRole)) continue;
    const models = [...(replicatedState.routes?.services.values() ?? [])].flatMap(
      ({ name, model }) =>
        model === undefined ? [] : [{ model, engines: findReadyEngines(book, name) }],
    );
    const names = new Set(models.flatMap(({ engines }) => engines.map(({ name }) => name)));
    losses.keepOnly([...names]);
    losses.ask(
      [...book.doubted(), ...peers.findSuspectedTargets()].filter((name) => names.has(name)),
    );
    for (const { model, engines } of models) {
      const lost = losses.lost(engines.map(({ name }) => name));
      placer.step(
        engines.filter(({ name }) => !lost.has(name)),
        model,
      );
    }
  }
}

function findReadyEngines(book: TargetBook, service: string): EngineView[] {
  return book
    .all(service)
    .filter(({ state }) => state === ListedState.Ready)
    .flatMap(({ name, dataCentre, card, layers, born }) =>
      card === undefined ? [] : [{ name, dataCentre, card, layers, born }],
    );
}
