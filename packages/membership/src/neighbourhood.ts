//! What this entry VM knows of the others: facts from gossip, put to use.
import { rendezvousOrder, type Clock, type Milliseconds } from "@lovagebend/common";
import { GossipState, type GossipEntry } from "./gossip-state.js";
import type { FleetTracker } from "./fleet-tracker.js";
import {
  demandFact,
  entryFact,
  leavingFact,
  loadsFact,
  readFact,
  type DemandValue,
  type EntryValue,
  type LoadsValue,
} from "./facts.js";
import type { SettingsKeeper } from "@lovagebend/settings";

/// An entry VM as heard of. `age` is how old the news is.
export interface EntryVmStatus extends EntryValue {
  readonly name: string;
  readonly age: Milliseconds;
}

const factLifetime: Milliseconds = 15_000;
const liveLimit: Milliseconds = 5_000;
const liveCacheTime: Milliseconds = 250;
// How long an unchanged fact is left as it is.
const entryLifetime: Milliseconds = 1_900;
const demandLifetime: Milliseconds = 2_000;
const leavingLifetime: Milliseconds = 3_000;
const loadsLifetime: Milliseconds = 1_900;

export class Neighbourhood {
  readonly gossip: GossipState;
  readonly incarnation: number;
  private readonly stated = new Map<string, { text: string; at: Milliseconds }>();
  private live: { names: readonly string[]; at: Milliseconds } | undefined;

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

  /// States this entry VM's own facts anew; those that have not changed and are fresh
  /// are left as they are.
  stateSelf(stopping: boolean, demand: DemandValue): void {
    const value: EntryValue = {
      dataCentre: this.dataCentre,
      revision: this.settings.state.revision,
      confirmedAge: roundedAge(this.settings.confirmedAge),
      stopping,
    };
    this.state(entryFact, value, `${value.revision} ${String(stopping)}`, entryLifetime);
    this.state(demandFact, demand, JSON.stringify(demand), demandLifetime);
    const leaving = this.fleet.leavingMarks;
    if (leaving.length > 0)
      this.state(leavingFact, leaving, JSON.stringify(leaving), leavingLifetime);
    const loads: LoadsValue = Object.fromEntries(this.fleet.probed);
    if (this.fleet.probed.size > 0) this.state(loadsFact, loads, "", loadsLifetime);
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
        case "loads":
          for (const [target, load] of Object.entries(fact.value)) {
            this.fleet.heard(target, load, load.age + entry.age);
          }
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
  liveLocal(): readonly string[] {
    const now = this.clock.monotonic();
    if (this.live === undefined || now - this.live.at > liveCacheTime) {
      this.live = { names: this.findLiveLocal(), at: now };
    }
    return this.live.names;
  }

  /// Whether this entry VM is one of the `count` of its data centre that see to `duty`.
  hasDuty(duty: string, count: number): boolean {
    return rendezvousOrder(duty, this.liveLocal()).slice(0, count).includes(this.self);
  }

  private findLiveLocal(): string[] {
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

  private state(key: string, value: unknown, text: string, lifetime: Milliseconds): void {
    const now = this.clock.monotonic();
    const before = this.stated.get(key);
    if (before?.text === text && now - before.at < lifetime) return;
    this.stated.set(key, { text, at: now });
    this.gossip.state(key, value, now);
  }
}

function roundedAge(age: Milliseconds | undefined): Milliseconds | null {
  return age === undefined ? null : Math.round(age);
}
