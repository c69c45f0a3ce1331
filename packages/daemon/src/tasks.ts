//! The background tasks of a daemon: gossip with each peer, probes of each target, the
//! machine list, unrecorded verdicts and burn counts. Each task is a loop that ends when its
//! signal is aborted.
import type { BurnCounts } from "@lovagebend/burn";
import type { ClaimStore } from "@lovagebend/claims";
import { exchangeJsonWithRetry, validate, type Clock, type Milliseconds } from "@lovagebend/common";
import { gossipPeers, isProber, loadReportSchema } from "@lovagebend/membership";
import type { MachineListSource, ObjectStore } from "@lovagebend/platform";
import type { PrefixIndex } from "@lovagebend/routing";
import type { EngineDirectory } from "@lovagebend/pipeline";
import { TargetKind, type TargetSettings } from "@lovagebend/settings";
import type { FleetTracker } from "@lovagebend/membership";
import type { ClusterMembership } from "@lovagebend/membership";
import type { PeerClient } from "./peer-protocol.js";
import type { SettingsReplica } from "@lovagebend/settings";

const gossipInterval: Milliseconds = 1_000;
const probeInterval: Milliseconds = 1_000;
const probeTimeout: Milliseconds = 500;
const machineListInterval: Milliseconds = 2_000;
const machineListReaderCount = 2;
const verdictRetryInterval: Milliseconds = 1_000;
const burnStoreInterval: Milliseconds = 60_000;

/// Fetches new gossip from one peer in each round that selects the peer, and its settings
/// when their revision is later.
export async function gossipWithPeer(
  peer: PeerClient,
  peers: { readonly local: readonly string[]; readonly remote: readonly string[] },
  membership: ClusterMembership,
  settings: SettingsReplica,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  for (let round = 0; !signal.aborted; round += 1) {
    if (gossipPeers(round, peers.local, peers.remote).includes(peer.address.name)) {
      const reply = await peer.fetchGossip(membership.gossip.digest());
      if (reply !== undefined) membership.mergeFacts(reply.entries);
      if (reply !== undefined && reply.revision > settings.state.revision) {
        const state = await peer.fetchSettings(settings.state);
        if (state !== undefined) settings.adopt(state);
      }
    }
    await clock.sleep(gossipInterval, signal);
  }
}

/// Probes the load of one target while this entry VM is its prober. For an engine, also
/// fetches its cache events.
export async function probeTarget(
  name: string,
  target: TargetSettings,
  dependencies: {
    readonly self: string;
    readonly dataCentre: string;
    readonly fleet: FleetTracker;
    readonly membership: ClusterMembership;
    readonly engines: EngineDirectory;
    readonly prefixes: PrefixIndex;
    readonly clock: Clock;
  },
  signal: AbortSignal,
): Promise<void> {
  const { self, dataCentre, fleet, membership, engines, prefixes, clock } = dependencies;
  const url = { host: target.host, port: target.port, path: "/v1/load" };
  while (!signal.aborted) {
    const candidates = target.dataCentre === dataCentre ? membership.liveLocalEntryVms() : [];
    if (isProber(self, name, candidates, fleet.timeSinceAnswer(name))) {
      const sentAt = clock.monotonicTime();
      const answer = await exchangeJsonWithRetry({ url, method: "GET", timeout: probeTimeout });
      const latency = clock.monotonicTime() - sentAt;
      const load = answer.isOk ? validate(loadReportSchema, answer.value.body) : undefined;
      fleet.recordProbe(name, load?.isOk === true ? { load: load.value, latency } : undefined);
      if (target.kind === TargetKind.Engine) {
        const events = await engines.control(name)?.cacheEvents(prefixes.getLastSequence(name));
        if (events?.isOk === true) prefixes.record(name, events.value);
      }
    } else {
      fleet.removeProbeResult(name);
    }
    await clock.sleep(probeInterval, signal);
  }
  fleet.removeProbeResult(name);
}

/// Polls the platform's list of VMs while this entry VM has that role. The other entry VMs
/// receive the leaving targets through gossip.
export async function pollMachineList(
  source: MachineListSource,
  fleet: FleetTracker,
  membership: ClusterMembership,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    if (membership.hasRole("machine list", machineListReaderCount)) {
      const list = await source();
      if (list.isOk) fleet.applyMachineList(list.value);
    }
    await clock.sleep(machineListInterval, signal);
  }
}

/// Retries recording the verdicts that the table service has not confirmed.
export async function retryUnrecordedVerdicts(
  claims: ClaimStore,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await claims.retryUnrecordedVerdicts();
    await clock.sleep(verdictRetryInterval, signal);
  }
}

/// Stores the counts of the burn report in the object store, from which the next process of
/// the same instance name restores them.
export async function storeBurnCounts(
  instance: string,
  burn: BurnCounts,
  objects: ObjectStore,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(burnStoreInterval, signal);
    await objects.put(`burn-${instance}`, burn.snapshot());
  }
}
