//! Decides which engines without layers are on standby. The replacement of an engine that leaves
//! joins before that engine leaves, and takes over its layers then. The replacement of an engine
//! that was lost joins afterwards, and is not on standby.
import type { Milliseconds } from "@lovagebend/common";
import type { PlacedEngine } from "./planner.js";

/// The number of engines of one kind that held layers at the same time.
interface EstablishedCount {
  readonly count: number;
  readonly confirmedAt: Milliseconds;
}

// An engine is on standby for this long. It exceeds the time between the start of a replacement
// and the leaving notice of the engine that it replaces.
const standbyTime: Milliseconds = 2_500;
// A lost engine without a replacement for this long is no longer replaced.
const vacancyLifetime: Milliseconds = 30_000;

export class StandbyEngines {
  private emptySince: ReadonlyMap<string, Milliseconds> = new Map();
  private readonly established = new Map<string, EstablishedCount>();

  /// Sets `isStandby` for the engines without layers. `engines` are all engines that may hold
  /// layers; those that load layers have them already.
  mark(engines: readonly PlacedEngine[], now: Milliseconds): readonly PlacedEngine[] {
    const vacancies = this.countVacancies(engines, now);
    const emptySince = new Map<string, Milliseconds>();
    const marked = engines.map((engine) => {
      if (engine.layers !== undefined) return engine;
      const since = this.emptySince.get(engine.name) ?? now;
      emptySince.set(engine.name, since);
      const kind = describeKind(engine);
      const vacant = vacancies.get(kind) ?? 0;
      vacancies.set(kind, vacant - 1);
      return { ...engine, isStandby: vacant <= 0 && now - since < standbyTime };
    });
    this.emptySince = emptySince;
    return marked;
  }

  // The number of lost engines of each kind that have not been replaced.
  private countVacancies(engines: readonly PlacedEngine[], now: Milliseconds): Map<string, number> {
    const holding = new Map<string, number>();
    for (const engine of engines) {
      const kind = describeKind(engine);
      holding.set(kind, (holding.get(kind) ?? 0) + (engine.layers === undefined ? 0 : 1));
    }
    for (const [kind, count] of holding) {
      const established = this.established.get(kind);
      const isConfirmed =
        established === undefined ||
        count >= established.count ||
        now - established.confirmedAt > vacancyLifetime;
      if (isConfirmed) this.established.set(kind, { count, confirmedAt: now });
    }
    return new Map(
      [...holding].map(([kind, count]) => [kind, (this.established.get(kind)?.count ?? 0) - count]),
    );
  }
}

// Engines of one kind can replace each other.
function describeKind({ dataCentre, card }: PlacedEngine): string {
  return `${dataCentre} ${card}`;
}
