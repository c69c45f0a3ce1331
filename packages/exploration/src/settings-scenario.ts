//! Operators who race, entry VMs that are cut off or replaced, and a store with faults.
import type { Logger, Milliseconds } from "@lovagebend/common";
import {
  SettingsKeeper,
  SettingsState,
  SettingsStore,
  type ApplyOutcome,
} from "@lovagebend/settings";
import { drawTableFault, FakeTable, TableFault } from "./fake-table.js";
import { FakeProcess, type Simulation } from "./world.js";

/// The revision that an entry VM put in force, at a time. `life` is new when the entry
/// VM is replaced.
export interface RevisionActivation {
  readonly entryVm: string;
  readonly incarnation: number;
  readonly at: Milliseconds;
  readonly revision: number;
}

/// A change an operator asked for, and what came of it.
export interface ChangeAttempt {
  readonly team: string;
  readonly changeId: string;
  readonly at: Milliseconds;
  readonly outcome: ApplyOutcome;
}

export interface SettingsHistory {
  readonly activations: readonly RevisionActivation[];
  readonly changeAttempts: readonly ChangeAttempt[];
  /// The revisions that were in force everywhere at once, and when that was first so.
  readonly acceptedRevisions: readonly { readonly revision: number; readonly at: Milliseconds }[];
  /// The committed changes by revision, from the store.
  readonly storedChanges: ReadonlyMap<number, { readonly team: string; readonly changeId: string }>;
  /// The revision in force at each entry VM when everything had healed for seven seconds.
  readonly finalRevisions: ReadonlyMap<string, number>;
  readonly transcript: readonly string[];
}

/// What goes wrong. `cuts` names, for a moment, the entry VMs that are cut off from the
/// platform and the peers; `replaced` when an entry VM is replaced.
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

/// A change that an operator makes at an entry VM, on what is in force there.
export interface PlannedChange {
  readonly team: string;
  readonly entryVm: string;
  readonly at: Milliseconds;
  /// A change that refers to a route of the other team.
  readonly refersToOtherTeam: boolean;
  /// A change that removes the route that the other team may refer to.
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
  keeper: SettingsKeeper;
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
  const span = (): TimeSpan => {
    const from = 1_000 + simulation.draw(8_000);
    return { from, until: Math.min(faultEndTime, from + simulation.draw(10_000)) };
  };
  const outage = simulation.drawOneIn(drawsPerFault) ? span() : { from: 0, until: 0 };
  const partitions = entryVmNames
    .filter(() => simulation.drawOneIn(drawsPerFault))
    .map((entryVm) => ({ ...span(), entryVm, includesPeers: simulation.drawOneIn(2) }));
  const replacements = entryVmNames
    .filter(() => simulation.drawOneIn(drawsPerFault))
    .map((entryVm) => ({ entryVm, at: 2_000 + simulation.draw(12_000) }));
  const chooseTableFault = (): TableFault =>
    simulation.now < faultEndTime ? drawTableFault(simulation, drawsPerFault * 2) : TableFault.None;
  return { chooseTableFault, outage, partitions, replacements };
}

/// Runs the changes and lets everything heal.
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
      (cut) => cut.entryVm === entryVm && isWithin(cut) && (cut.includesPeers || !isPeerTraffic),
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
    const minimumRevision = Math.min(...entryVms.map(({ keeper }) => keeper.state.revision));
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
    const unavailableTable = new FakeTable(simulation, new FakeProcess("nowhere"), {
      chooseFault: () => TableFault.None,
      isUnavailable: () => true,
    });
    const unavailableConnection = unavailableTable.connect(entryVm.process);
    entryVm.stopController = new AbortController();
    entryVm.incarnation += 1;
    entryVm.store = new SettingsStore(partitionableConnection, clock, createNonce);
    const keeper = new SettingsKeeper(entryVm.store, clock, silentLogger);
    entryVm.keeper = keeper;
    keeper.changes.subscribe((view) => {
      if (entryVm.keeper === keeper) recordActivation(entryVm, view.revision);
    });
    void keeper.keepCurrent(entryVm.name, () => entryVmNames, entryVm.stopController.signal);
    void gossip(entryVm, entryVm.stopController.signal);
  };
  const gossip = async (self: EntryVm, signal: AbortSignal): Promise<void> => {
    for (let round = 0; !signal.aborted; round += 1) {
      await simulation.delay(self.process, gossipInterval);
      const peers = entryVms.filter((peer) => peer !== self);
      const peer = peers[round % peers.length];
      if (peer === undefined || isPartitioned(self.name, true) || isPartitioned(peer.name, true))
        continue;
      const { keeper } = peer;
      const missedChanges = keeper.state.changesSince(self.keeper.state.revision);
      const receivedState =
        missedChanges === undefined
          ? SettingsState.of(keeper.state.revision, [...keeper.state.teams.values()])
          : self.keeper.state.with(missedChanges);
      await simulation.delay(self.process, 1 + simulation.draw(900));
      if (isAborted(signal)) return;
      self.keeper.adopt(receivedState);
      if (keeper.confirmedAge !== undefined) {
        self.keeper.confirm(keeper.state.revision, keeper.confirmedAge);
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
    const keeper = new SettingsKeeper(store, simulation.createClock(process), silentLogger);
    return { name, process, keeper, store, stopController: new AbortController(), incarnation: 0 };
  });
  const applyChange = async (change: PlannedChange): Promise<void> => {
    const entryVm = entryVms.find(({ name }) => name === change.entryVm);
    if (entryVm === undefined) return;
    await simulation.delay(entryVm.process, change.at);
    const current = entryVm.keeper.state.teams.get(change.team);
    const changeId = createNonce();
    simulation.record(
      `operator -> ${entryVm.name}: change ${change.team} from ${current?.revision ?? 0}`,
    );
    const outcome = await entryVm.store.apply({
      team: change.team,
      document: createDocument(change, changeId),
      baseRevision: current?.revision ?? 0,
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
        const matchingEntryVm = entryVms.find(({ name }) => name === entryVm);
        return matchingEntryVm === undefined
          ? Promise.resolve()
          : replaceEntryVm(matchingEntryVm, at);
      }),
    ]);
    const recoveryProcess = new FakeProcess("healed");
    await simulation.delay(
      recoveryProcess,
      Math.max(0, faultEndTime - simulation.now) + maximumPropagationTime,
    );
    for (const entryVm of entryVms) entryVm.stopController.abort();
    stopController.abort();
  };
  await simulation.run(runAll());
  const finalRevisions = new Map(entryVms.map(({ name, keeper }) => [name, keeper.state.revision]));
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
      return `lost to revision ${outcome.winner.revision}`;
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
