//! The duty of placing layers: seen to by one entry VM, and by another when that one is
//! no longer heard of.
import type { TargetBook } from "@lovagebend/attempts";
import { ListedState } from "@lovagebend/catalog";
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { EngineView, LossWatch, Placer } from "@lovagebend/placement";
import type { ReplicatedState } from "./knowledge.js";
import type { Peers } from "./peers.js";

const placementRole = "placement";
const placementInterval: Milliseconds = 200;
// A starting entry VM first hears who else is there, so that all do not give orders.
const discoveryDelay: Milliseconds = 1_500;

export interface PlacementParts {
  readonly book: TargetBook;
  readonly replicatedState: ReplicatedState;
  readonly peers: Peers;
  readonly placer: Placer;
  readonly losses: LossWatch;
  readonly clock: Clock;
}

/// Places layers while the duty is this entry VM's, until `signal` aborts.
export async function placeLayers(
  { book, replicatedState, peers, placer, losses, clock }: PlacementParts,
  signal: AbortSignal,
): Promise<void> {
  await clock.sleep(discoveryDelay, signal);
  while (!signal.aborted) {
    await clock.sleep(placementInterval, signal);
    if (!peers.hasRole(placementRole)) continue;
    const models = [...(replicatedState.routes?.services.values() ?? [])].flatMap(
      ({ name, model }) => (model === undefined ? [] : [{ model, engines: enginesOf(book, name) }]),
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

function enginesOf(book: TargetBook, service: string): EngineView[] {
  return book
    .all(service)
    .filter(({ state }) => state === ListedState.Ready)
    .flatMap(({ name, dataCentre, card, layers, born }) =>
      card === undefined ? [] : [{ name, dataCentre, card, layers, born }],
    );
}
