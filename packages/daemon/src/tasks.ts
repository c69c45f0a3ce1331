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
import { gossipPeers, isProber } from "@lovagebend/membership";
import type { MachineListSource, ObjectStore } from "@lovagebend/platform";
import type { PrefixIndex } from "@lovagebend/routing";
import type { EngineDirectory } from "@lovagebend/pipeline";
import { TargetKind, type TargetSettings } from "@lovagebend/settings";
import { z } from "zod";
import type { FleetTracker } from "@lovagebend/membership";
import type { Neighbourhood } from "@lovagebend/membership";
import type { PeerClient } from "./peer-protocol.js";
import type { SettingsKeeper } from "@lovagebend/settings";

const gossipPause: Milliseconds = 500;
const probePause: Milliseconds = 1_000;
const probeTimeout: Milliseconds = 500;
const listPause: Milliseconds = 2_000;
const backlogPause: Milliseconds = 1_000;
const rollupPause: Milliseconds = 60_000;

const loadSchema = z.object({
  queuedTokens: z.number().min(0),
  openSequences: z.number().min(0),
  tokensPerSecond: z.number().min(0),
  leaving: z.boolean(),
});

/// Exchanges facts with one peer in the rounds in which it is its turn, and fetches
/// its settings when they are later.
export async function followPeer(
  peer: PeerClient,
  peers: { readonly local: readonly string[]; readonly remote: readonly string[] },
  neighbourhood: Neighbourhood,
  settings: SettingsKeeper,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  let incarnation = 0;
  let received = 0;
  let sent = 0;
  for (let round = 0; !signal.aborted; round += 1) {
    if (gossipPeers(round, peers.local, peers.remote).includes(peer.address.name)) {
      const delta = neighbourhood.gossip.since(sent, clock.monotonic());
      const reply = await peer.gossip(received, delta.entries);
      if (reply !== undefined) {
        const restarted = reply.incarnation !== incarnation;
        incarnation = reply.incarnation;
        received = restarted ? 0 : reply.cursor;
        sent = restarted ? 0 : delta.cursor;
        neighbourhood.take(reply.entries);
        if (reply.revision > settings.state.revision) {
          const state = await peer.settings(settings.state);
          if (state !== undefined) settings.adopt(state);
        }
      }
    }
    await clock.sleep(gossipPause, signal);
  }
}

/// Asks one target for its load when that is this entry VM's duty, or when nobody
/// has heard of the target lately.
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
  const url = `http://${target.host}:${target.port}/v1/load`;
  while (!signal.aborted) {
    const duty =
      target.dataCentre === dataCentre && isProber(self, name, neighbourhood.liveLocal());
    if (duty || fleet.isUnheard(name)) {
      const sentAt = clock.monotonic();
      const answer = await exchangeJsonRepeatable({ url, method: "GET", timeout: probeTimeout });
      const latency = clock.monotonic() - sentAt;
      const load = answer.isOk ? validate(loadSchema, answer.value.body) : undefined;
      if (load?.isOk === true) {
        fleet.answered(name, load.value, latency, 0);
        neighbourhood.stateLoad(name, { load: load.value, latency });
      } else {
        fleet.failed(name);
      }
    }
    if (duty && target.kind === TargetKind.Engine) {
      const events = await engines.control(name)?.cacheEvents(prefixes.sequence(name));
      if (events?.isOk === true) prefixes.record(name, events.value);
    }
    await clock.sleep(probePause, signal);
  }
}

/// Reads the platform's list of VMs.
export async function followMachineList(
  source: MachineListSource,
  fleet: FleetTracker,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const list = await source();
    if (list.isOk) fleet.list(list.value);
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
