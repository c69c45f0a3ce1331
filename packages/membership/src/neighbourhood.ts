//! What this entry VM knows of the others: facts from gossip, put to use.
import type { Clock, Milliseconds } from "@lovagebend/common";
import { GossipState, type GossipEntry } from "./gossip-state.js";
import type { FleetTracker } from "./fleet-tracker.js";
import {
  demandFact,
  entryFact,
  leavingFact,
  loadFactPrefix,
  readFact,
  type EntryValue,
  type LoadValue,
} from "./facts.js";
import type { SettingsKeeper } from "@lovagebend/settings";

/// An entry VM as heard of. `age` is how old the news is.
export interface EntryVmStatus extends EntryValue {
  readonly name: string;
  readonly age: Milliseconds;
}

const factLifetime: Milliseconds = 15_000;
const liveLimit: Milliseconds = 5_000;

export class Neighbourhood {
  readonly gossip: GossipState;
  readonly incarnation: number;

  constructor(
    readonly self: string,
    private readonly dataCentre: string,
    private readonly clock: Clock,
    private readonly settings: SettingsKeeper,
    private readonly fleet: FleetTracker,
  ) {
    // A later start of the same instance has a later wall reading.
    this.incarnation = clock.wall();
    this.gossip = new GossipState(self, this.incarnation, factLifetime);
  }

  /// States this entry VM's own facts anew.
  stateSelf(
    stopping: boolean,
    demand: Readonly<Record<string, Readonly<Record<string, number>>>>,
  ): void {
    const now = this.clock.monotonic();
    const value: EntryValue = {
      dataCentre: this.dataCentre,
      revision: this.settings.state.revision,
      confirmedAge: this.settings.confirmedAge ?? null,
      stopping,
    };
    this.gossip.state(entryFact, value, now);
    this.gossip.state(demandFact, demand, now);
    this.gossip.state(leavingFact, this.fleet.leavingMarks, now);
  }

  /// States what a target just answered.
  stateLoad(target: string, value: LoadValue): void {
    this.gossip.state(`${loadFactPrefix}${target}`, value, this.clock.monotonic());
  }

  /// Takes in a peer's facts and puts to use those that were news.
  take(entries: readonly GossipEntry[]): void {
    for (const entry of this.gossip.merge(entries, this.clock.monotonic())) {
      const fact = readFact(entry);
      if (fact === undefined) continue;
      switch (fact.kind) {
        case "entry":
          if (fact.value.confirmedAge !== null) {
            this.settings.confirm(fact.value.revision, fact.value.confirmedAge + entry.age);
          }
          break;
        case "load":
          this.fleet.answered(fact.target, fact.value.load, fact.value.latency, entry.age);
          break;
        case "leaving":
          this.fleet.addLeaving(fact.value);
          break;
        case "demand":
          break;
      }
    }
  }

  /// The entry VMs heard of, this one included.
  entryVms(): EntryVmStatus[] {
    const facts = this.gossip.facts(entryFact, this.clock.monotonic());
    return facts.flatMap((entry) => {
      const fact = readFact(entry);
      return fact?.kind === "entry" ? [{ ...fact.value, name: entry.owner, age: entry.age }] : [];
    });
  }

  /// The names of the entry VMs of this data centre that are alive, in order.
  liveLocal(): string[] {
    const live = this.entryVms().filter(
      ({ age, dataCentre }) => age <= liveLimit && dataCentre === this.dataCentre,
    );
    return [...new Set([this.self, ...live.map(({ name }) => name)])].sort();
  }

  /// The names of all entry VMs that are alive and not stopping.
  liveCount(): number {
    const live = this.entryVms().filter(({ age, stopping }) => age <= liveLimit && !stopping);
    return Math.max(1, live.length);
  }

  /// What workspaces ask for in a group, at each live entry VM.
  demands(group: string): { workspace: string; entryVm: string; tokensPerSecond: number }[] {
    return this.gossip.facts(demandFact, this.clock.monotonic()).flatMap((entry) => {
      const fact = readFact(entry);
      if (fact?.kind !== "demand" || entry.age > liveLimit) return [];
      return Object.entries(fact.value[group] ?? {}).map(([workspace, tokensPerSecond]) => ({
        workspace,
        entryVm: entry.owner,
        tokensPerSecond,
      }));
    });
  }
}
