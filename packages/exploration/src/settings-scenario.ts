//! Scenario for settings: operators change settings concurrently while entry VMs are
//! partitioned or replaced and the store has faults.
import type { Logger, Milliseconds } from "@lovagebend/common";
import {
  SettingsReplica,
  SettingsState,
  SettingsStore,
  type ApplyOutcome,
} from "@lovagebend/settings";
import { drawTableFault, FakeTable, TableFault } from "./fake-table.js";
import { FakeProcess, type Simulation } from "./simulation.js";

/// The activation of a settings revision at an entry VM. `incarnation` changes when the
/// entry VM is replaced.
export interface RevisionActivation {
  readonly entryVm: string;
  readonly incarnation: number;
  readonly at: Milliseconds;
  readonly revision: number;
}

/// A change that an operator requested, and its outcome at time `at`.
export interface ChangeAttempt {
  readonly team: string;
  readonly changeId: string;
  readonly at: Milliseconds;
  readonly outcome: ApplyOutcome;
}

export interface SettingsHistory {
  readonly activations: readonly RevisionActivation[];
  readonly changeAttempts: readonly ChangeAttempt[];
  /// The revisions that were in force at every entry VM at once, with the time from which
  /// they were.
  readonly acceptedRevisions: readonly { readonly revision: number; readonly at: Milliseconds }[];
  /// The committed changes in the store, by revision.
  readonly storedChanges: ReadonlyMap<number, { readonly team: string; readonly changeId: string }>;
  /// The revision in force at each entry VM seven seconds after the last fault ended.
  readonly finalRevisions: ReadonlyMap<string, number>;
  readonly transcript: readonly string[];
}

/// The faults of a run. Each of `partitions` separates an entry VM from the platform for a
/// time, and with `includesPeers` also from its peers. `replacements` are the times at which
/// entry VMs are replaced.
export interface SettingsFaults {
  readonly chooseTableFault: () => TableFault;
  readonly outage: TimeSpan;
  readonly partitions: readonly (TimeSpan & {
    readonly entryVm: string;
    readonly includesPeers: boolean;
  })[];
  readonly replacements: readonly { readonly entryVm: string; readonly at: Milliseconds }[];
}

export interface TimeSpan {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/// A change that an operator makes at an entry VM, based on the revision in force there.
export interface PlannedChange {
  readonly team: string;
  readonly entryVm: string;
  readonly at: Milliseconds;
  /// Whether the change adds a route to a pipeline of the other team.
  readonly refersToOtherTeam: boolean;
  /// Whether the change removes the team's route and the pipeline that the other team may
  /// refer to.
  readonly removesRoute: boolean;
}

const entryVmNames = ["north-1", "north-2", "south-1"];
const gossipInterval: Milliseconds = 500;
const faultEndTime: Milliseconds = 20_000;
const maximumPropagationTime: Milliseconds = 7_000;
const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

interface EntryVm {
  readonly name: string;
  readonly process: FakeProcess;
  replica: SettingsReplica;
  store: SettingsStore;
  stopController: AbortController;
  incarnation: number;
}

export function drawChanges(simulation: Simulation): PlannedChange[] {
  return Array.from({ length: 1 + simulation.draw(4) }, () => ({
    team: simulation.drawOneIn(2) ? "advisory" : "orders",
    entryVm: entryVmNames[simulation.draw(entryVmNames.length)] ?? "",
    at: 2_000 + simulation.draw(8_000),
    refersToOtherTeam: simulation.drawOneIn(3),
    removesRoute: simulation.drawOneIn(3),
  }));
}

export function drawSettingsFaults(simulation: Simulation, drawsPerFault: number): SettingsFaults {
  const drawSpan = (): TimeSpan => {
    const from = 1_000 + simulation.draw(8_000);
    return { from, until: Math.min(faultEndTime, from + simulation.draw(10_000)) };
  };
  const outage = simulation.drawOneIn(drawsPerFault) ? drawSpan() : { from: 0, until: 0 };
  const partitions = entryVmNames
    .filter(() => simulation.drawOneIn(drawsPerFault))
    .map((entryVm) => ({ ...drawSpan(), entryVm, includesPeers: simulation.drawOneIn(2) }));
  const replacements = entryVmNames
    .filter(() => simulation.drawOneIn(drawsPerFault))
    .map((entryVm) => ({ entryVm, at: 2_000 + simulation.draw(12_000) }));
  const chooseTableFault = (): TableFault =>
    simulation.now < faultEndTime ? drawTableFault(simulation, drawsPerFault * 2) : TableFault.None;
  return { chooseTableFault, outage, partitions, replacements };
}

/// Runs the changes, then lets the last revision propagate for seven seconds without faults.
export async function runSettings(
  simulation: Simulation,
  changes: readonly PlannedChange[],
  faults: SettingsFaults,
): Promise<SettingsHistory> {
  const activations: RevisionActivation[] = [];
  const changeAttempts: ChangeAttempt[] = [];
  const acceptedRevisions: { revision: number; at: Milliseconds }[] = [];
  const stopController = new AbortController();
  const isWithin = ({ from, until }: TimeSpan): boolean =>
    simulation.now >= from && simulation.now < until;
  const isUnavailable = (): boolean => isWithin(faults.outage);
  const table = new FakeTable(simulation, new FakeProcess("table"), {
    chooseFault: faults.chooseTableFault,
    isUnavailable,
  });
  const isPartitioned = (entryVm: string, isPeerTraffic: boolean): boolean =>
    faults.partitions.some(
      (partition) =>
        partition.entryVm === entryVm &&
        isWithin(partition) &&
        (partition.includesPeers || !isPeerTraffic),
    );
  let nonceCount = 0;
  const createNonce = (): string => {
    nonceCount += 1;
    return `nonce-${nonceCount}`;
  };

  const recordActivation = (entryVm: EntryVm, revision: number): void => {
    activations.push({
      entryVm: entryVm.name,
      incarnation: entryVm.incarnation,
      at: simulation.now,
      revision,
    });
    if (revision > 0) simulation.record(`${entryVm.name}: revision ${revision} in force`);
    const minimumRevision = Math.min(...entryVms.map(({ replica }) => replica.state.revision));
    if (
      minimumRevision > 0 &&
      !acceptedRevisions.some((accepted) => accepted.revision === minimumRevision)
    ) {
      acceptedRevisions.push({ revision: minimumRevision, at: simulation.now });
    }
  };
  const startEntryVm = (entryVm: EntryVm): void => {
    const clock = simulation.createClock(entryVm.process);
    const connection = table.connect(entryVm.process);
    const partitionableConnection = {
      ...connection,
      read: (keys: readonly string[]) =>
        isPartitioned(entryVm.name, false)
          ? unavailableConnection.read(keys)
          : connection.read(keys),
      transact: (...callArguments: Parameters<typeof connection.transact>) =>
        isPartitioned(entryVm.name, false)
          ? unavailableConnection.transact(...callArguments)
          : connection.transact(...callArguments),
    };
    const unavailableTable = new FakeTable(simulation, new FakeProcess("unavailable"), {
      chooseFault: () => TableFault.None,
      isUnavailable: () => true,
    });
    const unavailableConnection = unavailableTable.connect(entryVm.process);
    entryVm.stopController = new AbortController();
    entryVm.incarnation += 1;
    entryVm.store = new SettingsStore(partitionableConnection, clock, createNonce);
    const replica = new SettingsReplica(entryVm.store, clock, silentLogger);
    entryVm.replica = replica;
    replica.changes.subscribe((view) => {
      if (entryVm.replica === replica) recordActivation(entryVm, view.revision);
    });
    void replica.followStore(entryVm.name, () => entryVmNames, entryVm.stopController.signal);
    void gossip(entryVm, entryVm.stopController.signal);
  };
  const gossip = async (self: EntryVm, signal: AbortSignal): Promise<void> => {
    for (let round = 0; !signal.aborted; round += 1) {
      await simulation.delay(self.process, gossipInterval);
      const peers = entryVms.filter((peer) => peer !== self);
      const peer = peers[round % peers.length];
      if (peer === undefined || isPartitioned(self.name, true) || isPartitioned(peer.name, true))
        continue;
      const { replica } = peer;
      const missedChanges = replica.state.changesSince(self.replica.state.revision);
      const receivedState =
        missedChanges === undefined
          ? SettingsState.of(replica.state.revision, [...replica.state.teams.values()])
          : self.replica.state.withChanges(missedChanges);
      await simulation.delay(self.process, 1 + simulation.draw(900));
      if (isAborted(signal)) return;
      self.replica.adopt(receivedState);
      if (replica.confirmedAge !== undefined) {
        self.replica.recordConfirmation(replica.state.revision, replica.confirmedAge);
      }
    }
  };
  const entryVms = entryVmNames.map((name): EntryVm => {
    const process = new FakeProcess(name);
    const store = new SettingsStore(
      table.connect(process),
      simulation.createClock(process),
      createNonce,
    );
    const replica = new SettingsReplica(store, simulation.createClock(process), silentLogger);
    return { name, process, replica, store, stopController: new AbortController(), incarnation: 0 };
  });
  const applyChange = async (change: PlannedChange): Promise<void> => {
    const entryVm = entryVms.find(({ name }) => name === change.entryVm);
    if (entryVm === undefined) return;
    await simulation.delay(entryVm.process, change.at);
    const currentChange = entryVm.replica.state.teams.get(change.team);
    const changeId = createNonce();
    simulation.record(
      `operator -> ${entryVm.name}: change ${change.team} from ${currentChange?.revision ?? 0}`,
    );
    const outcome = await entryVm.store.apply({
      team: change.team,
      document: createDocument(change, changeId),
      baseRevision: currentChange?.revision ?? 0,
      author: changeId,
    });
    changeAttempts.push({ team: change.team, changeId, at: simulation.now, outcome });
    simulation.record(`${entryVm.name} -> operator: ${describeOutcome(outcome)}`);
  };
  const replaceEntryVm = async (entryVm: EntryVm, at: Milliseconds): Promise<void> => {
    await simulation.delay(entryVm.process, at);
    simulation.record(`${entryVm.name} replaced`);
    entryVm.stopController.abort();
    startEntryVm(entryVm);
  };
  const runAll = async (): Promise<void> => {
    for (const entryVm of entryVms) startEntryVm(entryVm);
    const initialChange = {
      team: "orders",
      entryVm: "north-1",
      at: 0,
      refersToOtherTeam: false,
      removesRoute: false,
    };
    await applyChange(initialChange);
    await Promise.all([
      ...changes.map(applyChange),
      ...faults.replacements.map(({ entryVm, at }) => {
        const replacedEntryVm = entryVms.find(({ name }) => name === entryVm);
        return replacedEntryVm === undefined
          ? Promise.resolve()
          : replaceEntryVm(replacedEntryVm, at);
      }),
    ]);
    const recoveryProcess = new FakeProcess("recovery");
    await simulation.delay(
      recoveryProcess,
      Math.max(0, faultEndTime - simulation.now) + maximumPropagationTime,
    );
    for (const entryVm of entryVms) entryVm.stopController.abort();
    stopController.abort();
  };
  await simulation.run(runAll());
  const finalRevisions = new Map(
    entryVms.map(({ name, replica }) => [name, replica.state.revision]),
  );
  return {
    activations,
    changeAttempts,
    acceptedRevisions,
    storedChanges: readStoredChanges(table),
    finalRevisions,
    transcript: simulation.transcript,
  };
}

function createDocument(
  { team, refersToOtherTeam, removesRoute }: PlannedChange,
  changeId: string,
): object {
  const pipelines = { [`${team}-model`]: { layers: 6, version: changeId } };
  const ownRoute = { [`${team}-route`]: { kind: "model", pipeline: `${team}-model` } };
  const otherTeam = team === "orders" ? "advisory" : "orders";
  const crossTeamRoute = {
    [`${team}-borrowed`]: { kind: "model", pipeline: `${otherTeam}-model` },
  };
  if (removesRoute) return { routes: {} };
  return { pipelines, routes: refersToOtherTeam ? { ...ownRoute, ...crossTeamRoute } : ownRoute };
}

function readStoredChanges(table: FakeTable): Map<number, { team: string; changeId: string }> {
  const rows = table.rows.scan("settings/history/", "", 1_000);
  return new Map(
    rows.map(({ value }) => {
      const change = value as { revision: number; team: string; author: string };
      return [change.revision, { team: change.team, changeId: change.author }];
    }),
  );
}

function describeOutcome(outcome: ApplyOutcome): string {
  switch (outcome.kind) {
    case "committed":
      return `committed as ${outcome.revision}`;
    case "conflict":
      return `conflict with revision ${outcome.winner.revision}`;
    case "invalid":
      return `invalid: ${outcome.issues.map(({ path }) => path).join(" ")}`;
    case "unknown":
    case "unavailable":
      return outcome.kind;
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
