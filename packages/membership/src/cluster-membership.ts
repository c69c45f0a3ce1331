//! Membership of entry VMs. Publishes this entry VM's facts by gossip, applies the facts
//! received from peers to the fleet tracker and the settings, and derives which entry VMs
//! are alive.
import { rankByRendezvousHash, type Clock, type Milliseconds } from "@lovagebend/common";
import { GossipState, type GossipEntry } from "./gossip-state.js";
import type { FleetTracker } from "./fleet-tracker.js";
import {
  demandKey,
  entryKey,
  leavingKey,
  loadsKey,
  parseFact,
  type DemandValue,
  type EntryValue,
  type LoadsValue,
} from "./facts.js";
import type { SettingsReplica } from "@lovagebend/settings";

/// The last published status of an entry VM. `age` is the time since its publication.
export interface EntryVmStatus extends EntryValue {
  readonly name: string;
  readonly age: Milliseconds;
}

const factLifetime: Milliseconds = 15_000;
const maximumLiveAge: Milliseconds = 5_000;
const liveCacheLifetime: Milliseconds = 250;
// An unchanged fact is published again after its refresh interval.
const entryRefreshInterval: Milliseconds = 1_900;
const demandRefreshInterval: Milliseconds = 2_000;
const leavingRefreshInterval: Milliseconds = 3_000;
const loadsRefreshInterval: Milliseconds = 1_900;

export class ClusterMembership {
  readonly gossip: GossipState;
  readonly incarnation: number;
  private readonly published = new Map<string, { fingerprint: string; at: Milliseconds }>();
  private cachedLiveLocal: { names: readonly string[]; at: Milliseconds } | undefined;

  constructor(
    readonly self: string,
    private readonly dataCentre: string,
    private readonly clock: Clock,
    private readonly settings: SettingsReplica,
    private readonly fleet: FleetTracker,
  ) {
    // A later start of the same instance reads a later wall clock, so incarnations increase.
    this.incarnation = clock.wallClockTime();
    this.gossip = new GossipState(self, this.incarnation, factLifetime);
  }

  /// Publishes this entry VM's own facts. A fact that has not changed is published again only
  /// after its refresh interval.
  publishOwnFacts(stopping: boolean, demand: DemandValue): void {
    const value: EntryValue = {
      dataCentre: this.dataCentre,
      revision: this.settings.state.revision,
      confirmedAge: roundedAge(this.settings.confirmedAge),
      stopping,
    };
    this.publish(entryKey, value, `${value.revision} ${String(stopping)}`, entryRefreshInterval);
    this.publish(demandKey, demand, JSON.stringify(demand), demandRefreshInterval);
    const leaving = this.fleet.leavingNotices;
    if (leaving.length > 0)
      this.publish(leavingKey, leaving, JSON.stringify(leaving), leavingRefreshInterval);
    const loads: LoadsValue = Object.fromEntries(this.fleet.probeResults);
    if (this.fleet.probeResults.size > 0) this.publish(loadsKey, loads, "", loadsRefreshInterval);
  }

  /// Merges a peer's facts and applies those that are new.
  mergeFacts(entries: readonly GossipEntry[]): void {
    for (const entry of this.gossip.merge(entries, this.clock.monotonicTime())) {
      const fact = parseFact(entry);
      if (fact === undefined) continue;
      switch (fact.kind) {
        case "entry":
          if (fact.value.confirmedAge !== null) {
            this.settings.recordConfirmation(
              fact.value.revision,
              fact.value.confirmedAge + entry.age,
            );
          }
          break;
        case "loads":
          for (const [target, load] of Object.entries(fact.value)) {
            this.fleet.recordPeerProbe(target, load, load.age + entry.age);
          }
          break;
        case "leaving":
          this.fleet.addLeavingNotices(fact.value);
          break;
        case "demand":
          break;
      }
    }
  }

  /// The entry VMs with a fact that has not expired, this one included.
  entryVms(): EntryVmStatus[] {
    const facts = this.gossip.facts(entryKey, this.clock.monotonicTime());
    return facts.flatMap((entry) => {
      const fact = parseFact(entry);
      return fact?.kind === "entry" ? [{ ...fact.value, name: entry.owner, age: entry.age }] : [];
    });
  }

  /// The names of the live entry VMs of this data centre, sorted, this one included.
  liveLocalEntryVms(): readonly string[] {
    const now = this.clock.monotonicTime();
    if (this.cachedLiveLocal === undefined || now - this.cachedLiveLocal.at > liveCacheLifetime) {
      this.cachedLiveLocal = { names: this.findLiveLocalEntryVms(), at: now };
    }
    return this.cachedLiveLocal.names;
  }

  /// Whether this entry VM is one of the `count` entry VMs of its data centre that rendezvous
  /// hashing assigns to `role`.
  hasRole(role: string, count: number): boolean {
    return rankByRendezvousHash(role, this.liveLocalEntryVms()).slice(0, count).includes(this.self);
  }

  private findLiveLocalEntryVms(): string[] {
    const live = this.entryVms().filter(
      ({ age, dataCentre }) => age <= maximumLiveAge && dataCentre === this.dataCentre,
    );
    return [...new Set([this.self, ...live.map(({ name }) => name)])].sort();
  }

  /// The number of live entry VMs of all data centres that are not stopping, at least 1.
  liveEntryVmCount(): number {
    const live = this.entryVms().filter(({ age, stopping }) => age <= maximumLiveAge && !stopping);
    return Math.max(1, live.length);
  }

  /// The tokens per second that workspaces request in a group, at each live entry VM.
  demands(group: string): { workspace: string; entryVm: string; tokensPerSecond: number }[] {
    return this.gossip.facts(demandKey, this.clock.monotonicTime()).flatMap((entry) => {
      const fact = parseFact(entry);
      if (fact?.kind !== "demand" || entry.age > maximumLiveAge) return [];
      return Object.entries(fact.value[group] ?? {}).map(([workspace, tokensPerSecond]) => ({
        workspace,
        entryVm: entry.owner,
        tokensPerSecond,
      }));
    });
  }

  private publish(
    key: string,
    value: unknown,
    fingerprint: string,
    refreshInterval: Milliseconds,
  ): void {
    const now = this.clock.monotonicTime();
    const previous = this.published.get(key);
    if (previous?.fingerprint === fingerprint && now - previous.at < refreshInterval) return;
    this.published.set(key, { fingerprint, at: now });
    this.gossip.publish(key, value, now);
  }
}

function roundedAge(age: Milliseconds | undefined): Milliseconds | null {
  return age === undefined ? null : Math.round(age);
}
