//! The tasks of a daemon: one for each peer and each target, and a few that keep
//! shared knowledge current. Each is a loop that ends with its signal.
import type { BurnCounts } from "@lovagebend/burn";
import type { ClaimLedger } from "@lovagebend/claims";
import {
  exchangeJsonRepeatable,
  validate,
  type Clock,
  type Milliseconds,
} from "@lovagebend/common";
import { gossipPeers, isProber, loadReport } from "@lovagebend/membership";
import type { MachineListSource, ObjectStore } from "@lovagebend/platform";
import type { PrefixIndex } from "@lovagebend/routing";
import type { EngineDirectory } from "@lovagebend/pipeline";
import { TargetKind, type TargetSettings } from "@lovagebend/settings";
import type { FleetTracker } from "@lovagebend/membership";
import type { Neighbourhood } from "@lovagebend/membership";
import type { PeerClient } from "./peer-protocol.js";
import type { SettingsKeeper } from "@lovagebend/settings";

const gossipPause: Milliseconds = 1_000;
const probePause: Milliseconds = 1_000;
const probeTimeout: Milliseconds = 500;
const listPause: Milliseconds = 2_000;
const listReaders = 2;
const backlogPause: Milliseconds = 1_000;
const rollupPause: Milliseconds = 60_000;

/// Asks one peer for what is new in the rounds in which it is its turn, and fetches its
/// settings when they are later.
export async function followPeer(
  peer: PeerClient,
  peers: { readonly local: readonly string[]; readonly remote: readonly string[] },
  neighbourhood: Neighbourhood,
  settings: SettingsKeeper,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  for (let round = 0; !signal.aborted; round += 1) {
    if (gossipPeers(round, peers.local, peers.remote).includes(peer.address.name)) {
      const reply = await peer.gossip(neighbourhood.gossip.digest());
      if (reply !== undefined) neighbourhood.take(reply.entries);
      if (reply !== undefined && reply.revision > settings.state.revision) {
        const state = await peer.settings(settings.state);
        if (state !== undefined) settings.adopt(state);
      }
    }
    await clock.sleep(gossipPause, signal);
  }
}

/// Asks one target for its load when that is this entry VM's duty.
export async function probeTarget(
  name: string,
  target: TargetSettings,
  surroundings: {
    readonly self: string;
    readonly dataCentre: string;
    readonly fleet: FleetTracker;
    readonly neighbourhood: Neighbourhood;
    readonly engines: EngineDirectory;
    readonly prefixes: PrefixIndex;
    readonly clock: Clock;
  },
  signal: AbortSignal,
): Promise<void> {
  const { self, dataCentre, fleet, neighbourhood, engines, prefixes, clock } = surroundings;
  const url = { host: target.host, port: target.port, path: "/v1/load" };
  while (!signal.aborted) {
    const candidates = target.dataCentre === dataCentre ? neighbourhood.liveLocal() : [];
    if (isProber(self, name, candidates, fleet.silence(name))) {
      const sentAt = clock.monotonic();
      const answer = await exchangeJsonRepeatable({ url, method: "GET", timeout: probeTimeout });
      const latency = clock.monotonic() - sentAt;
      const load = answer.isOk ? validate(loadReport, answer.value.body) : undefined;
      fleet.noteProbe(name, load?.isOk === true ? { load: load.value, latency } : undefined);
      if (target.kind === TargetKind.Engine) {
        const events = await engines.control(name)?.cacheEvents(prefixes.sequence(name));
        if (events?.isOk === true) prefixes.record(name, events.value);
      }
    } else {
      fleet.forgetProbe(name);
    }
    await clock.sleep(probePause, signal);
  }
  fleet.forgetProbe(name);
}

/// Reads the platform's list of VMs where that is this entry VM's duty; the others hear
/// of leaving targets from it.
export async function followMachineList(
  source: MachineListSource,
  fleet: FleetTracker,
  neighbourhood: Neighbourhood,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    if (neighbourhood.hasDuty("machine list", listReaders)) {
      const list = await source();
      if (list.isOk) fleet.list(list.value);
    }
    await clock.sleep(listPause, signal);
  }
}

/// Records verdicts that the table service has not confirmed yet.
export async function settleClaims(
  claims: ClaimLedger,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await claims.settleBacklog();
    await clock.sleep(backlogPause, signal);
  }
}

/// Keeps the counts of the burn report in the object store, from where a successor
/// of the same name takes them up.
export async function storeBurnCounts(
  instance: string,
  burn: BurnCounts,
  objects: ObjectStore,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(rollupPause, signal);
    await objects.put(`burn-${instance}`, burn.snapshot());
  }
}
