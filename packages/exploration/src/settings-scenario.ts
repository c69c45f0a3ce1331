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
export interface InForce {
  readonly entryVm: string;
  readonly life: number;
  readonly at: Milliseconds;
  readonly revision: number;
}

/// A change an operator asked for, and what came of it.
export interface Applied {
  readonly team: string;
  readonly mark: string;
  readonly at: Milliseconds;
  readonly outcome: ApplyOutcome;
}

export interface SettingsHistory {
  readonly inForce: readonly InForce[];
  readonly applied: readonly Applied[];
  /// The revisions that were in force everywhere at once, and when that was first so.
  readonly accepted: readonly { readonly revision: number; readonly at: Milliseconds }[];
  /// The committed changes by revision, from the store.
  readonly stored: ReadonlyMap<number, { readonly team: string; readonly mark: string }>;
  /// The revision in force at each entry VM when everything had healed for seven seconds.
  readonly last: ReadonlyMap<string, number>;
  readonly transcript: readonly string[];
}

/// What goes wrong. `cuts` names, for a moment, the entry VMs that are cut off from the
/// platform and the peers; `replaced` when an entry VM is replaced.
export interface SettingsFaults {
  readonly tableFault: () => TableFault;
  readonly outage: Span;
  readonly cuts: readonly (Span & { readonly entryVm: string; readonly fromPeers: boolean })[];
  readonly replacements: readonly { readonly entryVm: string; readonly at: Milliseconds }[];
}

export interface Span {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/// A change that an operator makes at an entry VM, on what is in force there.
export interface PlannedChange {
  readonly team: string;
  readonly entryVm: string;
  readonly at: Milliseconds;
  /// A change that refers to a route of the other team.
  readonly refers: boolean;
  /// A change that removes the route that the other team may refer to.
  readonly removes: boolean;
}

const names = ["north-1", "north-2", "south-1"];
const gossipPause: Milliseconds = 500;
const faultsEnd: Milliseconds = 20_000;
const inForceWithin: Milliseconds = 7_000;
const silent: Logger = { info: () => undefined, warn: () => undefined, error: () => undefined };

interface EntryVm {
  readonly name: string;
  readonly process: FakeProcess;
  keeper: SettingsKeeper;
  store: SettingsStore;
  life: AbortController;
  lives: number;
}

export function drawChanges(simulation: Simulation): PlannedChange[] {
  return Array.from({ length: 1 + simulation.draw(4) }, () => ({
    team: simulation.drawOneIn(2) ? "advisory" : "orders",
    entryVm: names[simulation.draw(names.length)] ?? "",
    at: 2_000 + simulation.draw(8_000),
    refers: simulation.drawOneIn(3),
    removes: simulation.drawOneIn(3),
  }));
}

export function drawSettingsFaults(simulation: Simulation, oneIn: number): SettingsFaults {
  const span = (): Span => {
    const from = 1_000 + simulation.draw(8_000);
    return { from, until: Math.min(faultsEnd, from + simulation.draw(10_000)) };
  };
  const outage = simulation.drawOneIn(oneIn) ? span() : { from: 0, until: 0 };
  const cuts = names
    .filter(() => simulation.drawOneIn(oneIn))
    .map((entryVm) => ({ ...span(), entryVm, fromPeers: simulation.drawOneIn(2) }));
  const replacements = names
    .filter(() => simulation.drawOneIn(oneIn))
    .map((entryVm) => ({ entryVm, at: 2_000 + simulation.draw(12_000) }));
  const tableFault = (): TableFault =>
    simulation.now < faultsEnd ? drawTableFault(simulation, oneIn * 2) : TableFault.None;
  return { tableFault, outage, cuts, replacements };
}

/// Runs the changes and lets everything heal.
export async function runSettings(
  simulation: Simulation,
  changes: readonly PlannedChange[],
  faults: SettingsFaults,
): Promise<SettingsHistory> {
  const inForce: InForce[] = [];
  const applied: Applied[] = [];
  const accepted: { revision: number; at: Milliseconds }[] = [];
  const ended = new AbortController();
  const isWithin = ({ from, until }: Span): boolean =>
    simulation.now >= from && simulation.now < until;
  const isOut = (): boolean => isWithin(faults.outage);
  const table = new FakeTable(simulation, new FakeProcess("table"), {
    nextFault: faults.tableFault,
    isOut,
  });
  const isCut = (entryVm: string, peers: boolean): boolean =>
    faults.cuts.some(
      (cut) => cut.entryVm === entryVm && isWithin(cut) && (cut.fromPeers || !peers),
    );
  let nonces = 0;
  const createNonce = (): string => {
    nonces += 1;
    return `nonce-${nonces}`;
  };

  const note = (entryVm: EntryVm, revision: number): void => {
    inForce.push({ entryVm: entryVm.name, life: entryVm.lives, at: simulation.now, revision });
    if (revision > 0) simulation.record(`${entryVm.name}: revision ${revision} in force`);
    const lowest = Math.min(...entryVms.map(({ keeper }) => keeper.state.revision));
    if (lowest > 0 && !accepted.some((known) => known.revision === lowest)) {
      accepted.push({ revision: lowest, at: simulation.now });
    }
  };
  const begin = (entryVm: EntryVm): void => {
    const clock = simulation.createClock(entryVm.process);
    const connection = table.connect(entryVm.process);
    const reachable = {
      ...connection,
      read: (keys: readonly string[]) =>
        isCut(entryVm.name, false) ? cutOff.read(keys) : connection.read(keys),
      transact: (...call: Parameters<typeof connection.transact>) =>
        isCut(entryVm.name, false) ? cutOff.transact(...call) : connection.transact(...call),
    };
    const cutTable = new FakeTable(simulation, new FakeProcess("nowhere"), {
      nextFault: () => TableFault.None,
      isOut: () => true,
    });
    const cutOff = cutTable.connect(entryVm.process);
    entryVm.life = new AbortController();
    entryVm.lives += 1;
    entryVm.store = new SettingsStore(reachable, clock, createNonce);
    const keeper = new SettingsKeeper(entryVm.store, clock, silent);
    entryVm.keeper = keeper;
    keeper.changes.subscribe((view) => {
      if (entryVm.keeper === keeper) note(entryVm, view.revision);
    });
    void keeper.keepCurrent(entryVm.name, () => names, entryVm.life.signal);
    void gossip(entryVm, entryVm.life.signal);
  };
  const gossip = async (self: EntryVm, signal: AbortSignal): Promise<void> => {
    for (let round = 0; !signal.aborted; round += 1) {
      await simulation.delay(self.process, gossipPause);
      const peers = entryVms.filter((peer) => peer !== self);
      const peer = peers[round % peers.length];
      if (peer === undefined || isCut(self.name, true) || isCut(peer.name, true)) continue;
      const { keeper } = peer;
      const missed = keeper.state.changesSince(self.keeper.state.revision);
      const heard =
        missed === undefined
          ? SettingsState.of(keeper.state.revision, [...keeper.state.teams.values()])
          : self.keeper.state.with(missed);
      await simulation.delay(self.process, 1 + simulation.draw(900));
      if (isEnded(signal)) return;
      self.keeper.adopt(heard);
      if (keeper.confirmedAge !== undefined) {
        self.keeper.confirm(keeper.state.revision, keeper.confirmedAge);
      }
    }
  };
  const entryVms = names.map((name): EntryVm => {
    const process = new FakeProcess(name);
    const store = new SettingsStore(
      table.connect(process),
      simulation.createClock(process),
      createNonce,
    );
    const keeper = new SettingsKeeper(store, simulation.createClock(process), silent);
    return { name, process, keeper, store, life: new AbortController(), lives: 0 };
  });
  const apply = async (change: PlannedChange): Promise<void> => {
    const entryVm = entryVms.find(({ name }) => name === change.entryVm);
    if (entryVm === undefined) return;
    await simulation.delay(entryVm.process, change.at);
    const current = entryVm.keeper.state.teams.get(change.team);
    const mark = createNonce();
    simulation.record(
      `operator -> ${entryVm.name}: change ${change.team} from ${current?.revision ?? 0}`,
    );
    const outcome = await entryVm.store.apply({
      team: change.team,
      document: documentOf(change, mark),
      baseRevision: current?.revision ?? 0,
      author: mark,
    });
    applied.push({ team: change.team, mark, at: simulation.now, outcome });
    simulation.record(`${entryVm.name} -> operator: ${describe(outcome)}`);
  };
  const replace = async (entryVm: EntryVm, at: Milliseconds): Promise<void> => {
    await simulation.delay(entryVm.process, at);
    simulation.record(`${entryVm.name} replaced`);
    entryVm.life.abort();
    begin(entryVm);
  };
  const all = async (): Promise<void> => {
    for (const entryVm of entryVms) begin(entryVm);
    const first = { team: "orders", entryVm: "north-1", at: 0, refers: false, removes: false };
    await apply(first);
    await Promise.all([
      ...changes.map(apply),
      ...faults.replacements.map(({ entryVm, at }) => {
        const found = entryVms.find(({ name }) => name === entryVm);
        return found === undefined ? Promise.resolve() : replace(found, at);
      }),
    ]);
    const healed = new FakeProcess("healed");
    await simulation.delay(healed, Math.max(0, faultsEnd - simulation.now) + inForceWithin);
    for (const entryVm of entryVms) entryVm.life.abort();
    ended.abort();
  };
  await simulation.run(all());
  const last = new Map(entryVms.map(({ name, keeper }) => [name, keeper.state.revision]));
  return {
    inForce,
    applied,
    accepted,
    stored: storedChanges(table),
    last,
    transcript: simulation.transcript,
  };
}

function documentOf({ team, refers, removes }: PlannedChange, mark: string): object {
  const pipelines = { [`${team}-model`]: { layers: 6, version: mark } };
  const own = { [`${team}-route`]: { kind: "model", pipeline: `${team}-model` } };
  const other = team === "orders" ? "advisory" : "orders";
  const borrowed = { [`${team}-borrowed`]: { kind: "model", pipeline: `${other}-model` } };
  if (removes) return { routes: {} };
  return { pipelines, routes: refers ? { ...own, ...borrowed } : own };
}

function storedChanges(table: FakeTable): Map<number, { team: string; mark: string }> {
  const rows = table.rows.scan("settings/history/", "", 1_000);
  return new Map(
    rows.map(({ value }) => {
      const change = value as { revision: number; team: string; author: string };
      return [change.revision, { team: change.team, mark: change.author }];
    }),
  );
}

function describe(outcome: ApplyOutcome): string {
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

function isEnded(signal: AbortSignal): boolean {
  return signal.aborted;
}
