//! The duty of placing layers: seen to by one entry VM, and by another when that one is
//! no longer heard of.
import type { TargetBook } from "@lovagebend/attempts";
import { ListedState } from "@lovagebend/catalog";
import type { Clock, Milliseconds } from "@lovagebend/common";
import type { Placer, EngineView } from "@lovagebend/placement";
import type { Knowledge } from "./knowledge.js";
import type { Peers } from "./peers.js";

const placementDuty = "placement";
const placementPause: Milliseconds = 200;
// A starting entry VM first hears who else is there, so that all do not give orders.
const listenTime: Milliseconds = 1_500;

export interface PlacementParts {
  readonly book: TargetBook;
  readonly knowledge: Knowledge;
  readonly peers: Peers;
  readonly placer: Placer;
  readonly clock: Clock;
}

/// Places layers while the duty is this entry VM's, until `signal` aborts.
export async function placeLayers(
  { book, knowledge, peers, placer, clock }: PlacementParts,
  signal: AbortSignal,
): Promise<void> {
  await clock.sleep(listenTime, signal);
  while (!signal.aborted) {
    await clock.sleep(placementPause, signal);
    if (!peers.hasDuty(placementDuty)) continue;
    for (const service of knowledge.routes?.services.values() ?? []) {
      if (service.model !== undefined) placer.step(enginesOf(book, service.name), service.model);
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
