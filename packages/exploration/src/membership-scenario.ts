//! Targets that leave and entry VMs that are cut off from the platform, from peers or
//! from targets, under a list of VMs that lags, is stale or is empty.
import type { Logger, Milliseconds } from "@lovagebend/common";
import { FleetTracker, isProber, Neighbourhood, TargetState } from "@lovagebend/membership";
import { ListedState, type MachineList } from "@lovagebend/platform";
import { SettingsKeeper, SettingsState, SettingsStore } from "@lovagebend/settings";
import { FakeTable, TableFault } from "./fake-table.js";
import type { TargetSeen } from "./judge.js";
import { FakeProcess, Simulation } from "./world.js";

/// A span of time in which something is wrong.
export interface Span {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/// What goes wrong. The list is behind by `listLag`; in `listEmpty` it is a new, empty
/// list; in `listOut` it cannot be read; in `listStale` it is the list of an hour ago,
/// under an old revision. A leaving target tells it itself, or only the platform does.
export interface MembershipFaults {
  readonly leavingAt: Milliseconds;
  readonly tellsItself: boolean;
  readonly listLag: Milliseconds;
  readonly listOut: Span;
  readonly listEmpty: Span;
  readonly listStale: Span;
  readonly cutFromPlatform: readonly string[];
  readonly cutFromPeers: readonly string[];
  readonly cutSpan: Span;
}

export interface MembershipHistory {
  readonly seen: readonly TargetSeen[];
  readonly transcript: readonly string[];
}

const entryVmNames = ["north-1", "north-2", "north-3"];
const targetNames = ["engine-1", "engine-2"];
export const leavingTarget = "engine-1";
const runTime: Milliseconds = 40_000;
const tick: Milliseconds = 500;
const probePause: Milliseconds = 1_000;
const gossipPause: Milliseconds = 1_000;
const listPause: Milliseconds = 2_000;
const silent: Logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
const nothing: Span = { from: 0, until: 0 };

export function drawMembershipFaults(simulation: Simulation, oneIn: number): MembershipFaults {
  const span = (): Span => {
    if (!simulation.drawOneIn(oneIn)) return nothing;
    const from = simulation.draw(20_000);
    return { from, until: from + simulation.draw(20_000) };
  };
  return {
    leavingAt: 5_000 + simulation.draw(15_000),
    tellsItself: simulation.drawOneIn(2),
    listLag: simulation.draw(3_000),
    listOut: span(),
    listEmpty: span(),
    listStale: span(),
    cutFromPlatform: entryVmNames.filter(() => simulation.drawOneIn(oneIn)),
    cutFromPeers: entryVmNames.filter(() => simulation.drawOneIn(oneIn)),
    cutSpan: span(),
  };
}

interface EntryVm {
  readonly name: string;
  readonly process: FakeProcess;
  readonly fleet: FleetTracker;
  readonly neighbourhood: Neighbourhood;
}

/// Runs three entry VMs and two targets of one data centre for forty seconds.
export async function runMembership(
  simulation: Simulation,
  faults: MembershipFaults,
): Promise<MembershipHistory> {
  const seen: TargetSeen[] = [];
  const end = new AbortController();
  const isWithin = ({ from, until }: Span): boolean =>
    simulation.now >= from && simulation.now < until;
  const entryVms = entryVmNames.map((name) => startEntryVm(simulation, name));
  const listAt = (at: Milliseconds): MachineList => {
    const leaving = at >= faults.leavingAt;
    const machines = targetNames.map((name) => ({
      name,
      state: leaving && name === leavingTarget ? ListedState.Leaving : ListedState.Live,
    }));
    return { revision: leaving ? 11 : 10, machines };
  };
  const readList = (): MachineList | undefined => {
    if (isWithin(faults.listOut)) return undefined;
    if (isWithin(faults.listStale)) return { ...listAt(0), revision: 1 };
    if (isWithin(faults.listEmpty)) return { revision: 12, machines: [] };
    return listAt(simulation.now - faults.listLag);
  };
  const canReachPlatform = ({ name }: EntryVm): boolean =>
    !(faults.cutFromPlatform.includes(name) && isWithin(faults.cutSpan));
  const canReachPeers = ({ name }: EntryVm): boolean =>
    !(faults.cutFromPeers.includes(name) && isWithin(faults.cutSpan));

  // A peer tells others when it is not cut off from them and reads the list or has heard
  // the notice before.
  const isInformed = (peer: EntryVm): boolean =>
    canReachPeers(peer) &&
    (canReachPlatform(peer) || peer.fleet.view.get(leavingTarget)?.state === TargetState.Leaving);

  const probe = async (self: EntryVm): Promise<void> => {
    while (!end.signal.aborted) {
      for (const target of targetNames) {
        const silence = self.fleet.silence(target);
        if (!isProber(self.name, target, self.neighbourhood.liveLocal(), silence)) {
          self.fleet.forgetProbe(target);
          continue;
        }
        const leaving =
          faults.tellsItself && target === leavingTarget && simulation.now >= faults.leavingAt;
        const load = { queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving };
        self.fleet.noteProbe(target, { load, latency: 1 });
      }
      await simulation.delay(self.process, probePause);
    }
  };
  const gossip = async (self: EntryVm, peer: EntryVm): Promise<void> => {
    while (!end.signal.aborted) {
      self.neighbourhood.stateSelf(false, {});
      if (canReachPeers(self) && canReachPeers(peer)) {
        const digest = self.neighbourhood.gossip.digest();
        const entries = peer.neighbourhood.gossip.newerThan(digest, simulation.now);
        await simulation.delay(self.process, 1 + simulation.draw(200));
        self.neighbourhood.take(entries);
      }
      await simulation.delay(self.process, gossipPause);
    }
  };
  const followList = async (self: EntryVm): Promise<void> => {
    while (!end.signal.aborted) {
      const list = canReachPlatform(self) ? readList() : undefined;
      if (list !== undefined) self.fleet.list(list);
      await simulation.delay(self.process, listPause);
    }
  };
  const watch = async (self: EntryVm): Promise<void> => {
    const before = new Map<string, string>();
    while (!end.signal.aborted) {
      for (const target of targetNames) {
        const state = self.fleet.view.get(target)?.state ?? TargetState.Down;
        const hasInformedPeer =
          canReachPeers(self) && entryVms.some((peer) => peer !== self && isInformed(peer));
        const told = hasInformedPeer || canReachPlatform(self) || faults.tellsItself;
        seen.push({ entryVm: self.name, target, at: simulation.now, state, told });
        if (before.get(target) !== state) simulation.record(`${self.name}: ${target} ${state}`);
        before.set(target, state);
      }
      await simulation.delay(self.process, tick);
    }
  };
  const all = async (): Promise<void> => {
    const tasks = entryVms.flatMap((self) => [
      probe(self),
      followList(self),
      watch(self),
      ...entryVms.filter((peer) => peer !== self).map((peer) => gossip(self, peer)),
    ]);
    await simulation.delay(new FakeProcess("end"), runTime);
    end.abort();
    await Promise.all(tasks);
  };
  await simulation.run(all());
  return { seen, transcript: simulation.transcript };
}

function startEntryVm(simulation: Simulation, name: string): EntryVm {
  const process = new FakeProcess(name);
  const clock = simulation.createClock(process);
  const table = new FakeTable(simulation, process, {
    nextFault: () => TableFault.None,
    isOut: () => true,
  });
  const store = new SettingsStore(table.connect(process), clock, () => "nonce");
  const settings = new SettingsKeeper(store, clock, silent);
  settings.adopt(SettingsState.of(1, [teamChange()]));
  const fleet = new FleetTracker(clock);
  fleet.configure(settings.view);
  const neighbourhood = new Neighbourhood(name, "north-a", clock, settings, fleet);
  return { name, process, fleet, neighbourhood };
}

function teamChange() {
  const targets = targetNames.map((name, index) => [
    name,
    {
      kind: "engine",
      pipeline: "advice",
      host: "127.0.0.1",
      port: 9_000 + index,
      dataCentre: "north-a",
      checksFencing: true,
      firstLayer: 0,
      endLayer: 6,
      accelerator: "kind-1",
      tokensPerSecond: 1_000,
    },
  ]);
  const document = {
    pipelines: { advice: { layers: 6, version: "v1" } },
    targets: Object.fromEntries(targets) as object,
  };
  return { revision: 1, team: "advisory", author: "operator", time: "", nonce: "", document };
}
