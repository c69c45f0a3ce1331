//! Scenario for membership: a target is leaving while entry VMs are partitioned from the
//! platform or from their peers, and the platform's list of VMs lags, is stale, is empty or
//! cannot be read.
import type { Logger, Milliseconds } from "@lovagebend/common";
import { FleetTracker, isProber, ClusterMembership, TargetState } from "@lovagebend/membership";
import { ListedState, type MachineList } from "@lovagebend/platform";
import { SettingsReplica, SettingsState, SettingsStore } from "@lovagebend/settings";
import { FakeTable, TableFault } from "./fake-table.js";
import type { TargetObservation } from "./checker.js";
import { FakeProcess, Simulation } from "./simulation.js";

/// A span of simulated time, up to but not including `until`.
export interface TimeSpan {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/// The faults of a run. The list lags by `listLag`. During `listOutage` it cannot be read,
/// during `emptyListSpan` it is empty under a new revision, and during `staleListSpan` it is
/// a list from before the notice, under an old revision. With `reportsOwnNotice` the target
/// reports in its load that it is leaving; otherwise only the platform's list states it.
export interface MembershipFaults {
  readonly leavingAt: Milliseconds;
  readonly reportsOwnNotice: boolean;
  readonly listLag: Milliseconds;
  readonly listOutage: TimeSpan;
  readonly emptyListSpan: TimeSpan;
  readonly staleListSpan: TimeSpan;
  readonly partitionedFromPlatform: readonly string[];
  readonly partitionedFromPeers: readonly string[];
  readonly partitionSpan: TimeSpan;
}

export interface MembershipHistory {
  readonly observations: readonly TargetObservation[];
  readonly transcript: readonly string[];
}

const entryVmNames = ["north-1", "north-2", "north-3"];
const targetNames = ["engine-1", "engine-2"];
export const leavingTarget = "engine-1";
const runDuration: Milliseconds = 40_000;
const observationInterval: Milliseconds = 500;
const probeInterval: Milliseconds = 1_000;
const gossipInterval: Milliseconds = 1_000;
const listPollInterval: Milliseconds = 2_000;
const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const emptySpan: TimeSpan = { from: 0, until: 0 };

export function drawMembershipFaults(
  simulation: Simulation,
  drawsPerFault: number,
): MembershipFaults {
  const drawSpan = (): TimeSpan => {
    if (!simulation.drawOneIn(drawsPerFault)) return emptySpan;
    const from = simulation.draw(20_000);
    return { from, until: from + simulation.draw(20_000) };
  };
  return {
    leavingAt: 5_000 + simulation.draw(15_000),
    reportsOwnNotice: simulation.drawOneIn(2),
    listLag: simulation.draw(3_000),
    listOutage: drawSpan(),
    emptyListSpan: drawSpan(),
    staleListSpan: drawSpan(),
    partitionedFromPlatform: entryVmNames.filter(() => simulation.drawOneIn(drawsPerFault)),
    partitionedFromPeers: entryVmNames.filter(() => simulation.drawOneIn(drawsPerFault)),
    partitionSpan: drawSpan(),
  };
}

interface EntryVm {
  readonly name: string;
  readonly process: FakeProcess;
  readonly fleet: FleetTracker;
  readonly membership: ClusterMembership;
}

/// Runs three entry VMs and two targets of one data centre for 40 simulated seconds.
export async function runMembership(
  simulation: Simulation,
  faults: MembershipFaults,
): Promise<MembershipHistory> {
  const observations: TargetObservation[] = [];
  const stopController = new AbortController();
  const isWithin = ({ from, until }: TimeSpan): boolean =>
    simulation.now >= from && simulation.now < until;
  const entryVms = entryVmNames.map((name) => createEntryVm(simulation, name));
  const createListAt = (at: Milliseconds): MachineList => {
    const isLeaving = at >= faults.leavingAt;
    const machines = targetNames.map((name) => ({
      name,
      state: isLeaving && name === leavingTarget ? ListedState.Leaving : ListedState.Live,
    }));
    return { revision: isLeaving ? 11 : 10, machines };
  };
  const readList = (): MachineList | undefined => {
    if (isWithin(faults.listOutage)) return undefined;
    if (isWithin(faults.staleListSpan)) return { ...createListAt(0), revision: 1 };
    if (isWithin(faults.emptyListSpan)) return { revision: 12, machines: [] };
    return createListAt(simulation.now - faults.listLag);
  };
  const canReachPlatform = ({ name }: EntryVm): boolean =>
    !(faults.partitionedFromPlatform.includes(name) && isWithin(faults.partitionSpan));
  const canReachPeers = ({ name }: EntryVm): boolean =>
    !(faults.partitionedFromPeers.includes(name) && isWithin(faults.partitionSpan));

  // A peer can forward the notice if it reaches other entry VMs and either reads the list
  // or has received the notice before.
  const canForwardNotice = (peer: EntryVm): boolean =>
    canReachPeers(peer) &&
    (canReachPlatform(peer) || peer.fleet.view.get(leavingTarget)?.state === TargetState.Leaving);

  const probe = async (self: EntryVm): Promise<void> => {
    while (!stopController.signal.aborted) {
      for (const target of targetNames) {
        const responseAge = self.fleet.timeSinceAnswer(target);
        if (!isProber(self.name, target, self.membership.liveLocalEntryVms(), responseAge)) {
          self.fleet.removeProbeResult(target);
          continue;
        }
        const isLeaving =
          faults.reportsOwnNotice && target === leavingTarget && simulation.now >= faults.leavingAt;
        const load = { queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving: isLeaving };
        self.fleet.recordProbe(target, { load, latency: 1 });
      }
      await simulation.delay(self.process, probeInterval);
    }
  };
  const gossip = async (self: EntryVm, peer: EntryVm): Promise<void> => {
    while (!stopController.signal.aborted) {
      self.membership.publishOwnFacts(false, {});
      if (canReachPeers(self) && canReachPeers(peer)) {
        const digest = self.membership.gossip.digest();
        const entries = peer.membership.gossip.newerThan(digest, simulation.now);
        await simulation.delay(self.process, 1 + simulation.draw(200));
        self.membership.mergeFacts(entries);
      }
      await simulation.delay(self.process, gossipInterval);
    }
  };
  const pollList = async (self: EntryVm): Promise<void> => {
    while (!stopController.signal.aborted) {
      const list = canReachPlatform(self) ? readList() : undefined;
      if (list !== undefined) self.fleet.applyMachineList(list);
      await simulation.delay(self.process, listPollInterval);
    }
  };
  const observe = async (self: EntryVm): Promise<void> => {
    const lastStates = new Map<string, string>();
    while (!stopController.signal.aborted) {
      for (const target of targetNames) {
        const state = self.fleet.view.get(target)?.state ?? TargetState.Down;
        const canPeerForwardNotice =
          canReachPeers(self) && entryVms.some((peer) => peer !== self && canForwardNotice(peer));
        const isNoticeReachable =
          canPeerForwardNotice || canReachPlatform(self) || faults.reportsOwnNotice;
        observations.push({
          entryVm: self.name,
          target,
          at: simulation.now,
          state,
          isNoticeReachable,
        });
        if (lastStates.get(target) !== state) simulation.record(`${self.name}: ${target} ${state}`);
        lastStates.set(target, state);
      }
      await simulation.delay(self.process, observationInterval);
    }
  };
  const runAll = async (): Promise<void> => {
    const tasks = entryVms.flatMap((self) => [
      probe(self),
      pollList(self),
      observe(self),
      ...entryVms.filter((peer) => peer !== self).map((peer) => gossip(self, peer)),
    ]);
    await simulation.delay(new FakeProcess("end"), runDuration);
    stopController.abort();
    await Promise.all(tasks);
  };
  await simulation.run(runAll());
  return { observations, transcript: simulation.transcript };
}

function createEntryVm(simulation: Simulation, name: string): EntryVm {
  const process = new FakeProcess(name);
  const clock = simulation.createClock(process);
  const table = new FakeTable(simulation, process, {
    chooseFault: () => TableFault.None,
    isUnavailable: () => true,
  });
  const store = new SettingsStore(table.connect(process), clock, () => "nonce");
  const settings = new SettingsReplica(store, clock, silentLogger);
  settings.adopt(SettingsState.of(1, [createTeamChange()]));
  const fleet = new FleetTracker(clock);
  fleet.configure(settings.view);
  const membership = new ClusterMembership(name, "north-a", clock, settings, fleet);
  return { name, process, fleet, membership };
}

function createTeamChange() {
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
