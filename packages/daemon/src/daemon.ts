//! Creates the components of a daemon, starts its servers and tasks, and stops them again.
import { BurnCounts, type BurnSnapshot } from "@lovagebend/burn";
import { ClaimStore } from "@lovagebend/claims";
import {
  LifecycleManager,
  limitPipelining,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { RetryBudget } from "@lovagebend/limits";
import { Lease, reconcileVersions, type DesiredState } from "@lovagebend/orders";
import { EngineDirectory, ResumeKey } from "@lovagebend/pipeline";
import {
  createHttpMachineListSource,
  createHttpObjectStore,
  createHttpTableService,
  type TableService,
} from "@lovagebend/platform";
import { PrefixIndex } from "@lovagebend/routing";
import { SettingsStore, TargetKind, type SettingsView } from "@lovagebend/settings";
import { AdmissionController } from "./admission-controller.js";
import { handleCallerRequest } from "./caller-server.js";
import { ConnectionTurns } from "./connection-turns.js";
import { handleControlRequest } from "./control-server.js";
import { FleetTracker } from "@lovagebend/membership";
import { listen } from "./http-server.js";
import { KeyedTasks } from "./keyed-tasks.js";
import { createMetrics } from "./metrics.js";
import { ClusterMembership } from "@lovagebend/membership";
import { createPeerServer, PeerClient } from "./peer-protocol.js";
import { RequestGate } from "./request-gate.js";
import type { Router } from "./router.js";
import { SettingsReplica } from "@lovagebend/settings";
import type { StartUpFile } from "./start-up-file.js";
import {
  pollMachineList,
  gossipWithPeer,
  probeTarget,
  retryUnrecordedVerdicts,
  storeBurnCounts,
} from "./tasks.js";

/// What the process provides to a daemon.
export interface DaemonDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly createId: () => string;
}

/// A running daemon. `stop` is the graceful shutdown; it resolves when no request is in
/// progress. `abortRequests` ends the requests in progress; their callers receive an error
/// from which they can resume.
export interface RunningDaemon {
  readonly callerPort: number;
  readonly controlPort: number;
  stop(): Promise<void>;
  abortRequests(): void;
}

const platformTimeout: Milliseconds = 1_500;
const engineTimeout: Milliseconds = 1_000;
const adaptInterval: Milliseconds = 1_000;
const leaseDuration: Milliseconds = 10_000;
const orderContenderCount = 2;
const leaseGracePeriod: Milliseconds = 2_000;
const verdictRecordingTimeout: Milliseconds = 10_000;
const verdictRetryInterval: Milliseconds = 200;

/// Starts a daemon. Throws if it cannot listen on its addresses.
export async function startDaemon(
  file: StartUpFile,
  dependencies: DaemonDependencies,
): Promise<RunningDaemon> {
  const { clock, logger, createId } = dependencies;
  const lifecycle = new LifecycleManager();
  const table = createHttpTableService(file.platformUrl, platformTimeout);
  const store = new SettingsStore(table, clock, createId);
  const objects = createHttpObjectStore(file.platformUrl, platformTimeout);
  const settings = new SettingsReplica(store, clock, logger);
  const fleet = new FleetTracker(clock);
  const membership = new ClusterMembership(file.instance, file.dataCentre, clock, settings, fleet);
  let stopPromise: Promise<void> | undefined;
  const router: Router = {
    instance: `${file.instance}-${membership.incarnation.toString(36)}`,
    dataCentre: file.dataCentre,
    clock,
    logger,
    metrics: createMetrics(file),
    settings,
    fleet,
    membership,
    engines: new EngineDirectory(engineTimeout),
    prefixes: new PrefixIndex(),
    admissions: new AdmissionController(clock, fleet, membership),
    claims: new ClaimStore({ table, clock, holder: file.instance, createNonce: createId }),
    retryBudget: new RetryBudget(),
    burn: new BurnCounts(),
    resumeKey: new ResumeKey(file.keys.resume),
    gate: new RequestGate(),
    turns: new ConnectionTurns(),
    createId,
    isStopping: () => stopPromise !== undefined,
  };
  const peers = file.peers.map((peer) => new PeerClient(peer, file.keys.peer));
  const onFailure = (name: string, error: unknown): void => {
    logger.error("task failed", { task: name, detail: String(error) });
  };
  const startTask = (name: string, task: (signal: AbortSignal) => Promise<void>): void => {
    lifecycle.startTask(name, task, onFailure);
  };

  lifecycle.addResource("engine channels", () => {
    router.engines.close();
  });
  const probes = new KeyedTasks(lifecycle, onFailure);
  const reconcilers = new KeyedTasks(lifecycle, onFailure);
  const settingsSubscription = settings.changes.subscribe((view) => {
    fleet.configure(view);
    router.engines.configure(listEngineAddresses(view));
    probes.configure(createProbeTasks(router, view));
    reconcilers.configure(createVersionTasks(router, table, view));
  });
  lifecycle.addResource("settings subscription", () => {
    settingsSubscription.unsubscribe();
  });

  const stop = (): Promise<void> => {
    stopPromise ??= stopGracefully(file, router, lifecycle);
    return stopPromise;
  };
  const controlServer = await listen(file.control, (request, response) =>
    handleControlRequest(
      router,
      {
        file,
        store,
        peerServer: createPeerServer(membership, settings, router.burn, () =>
          clock.monotonicTime(),
        ),
        peers,
        drain: () => void stop(),
      },
      request,
      response,
    ),
  );
  registerServer(lifecycle, "control server", controlServer.server);
  const callerServer = await listen(file.callers, (request, response) =>
    handleCallerRequest(router, request, response),
  );
  limitPipelining(callerServer.server, logger);
  registerServer(lifecycle, "caller server", callerServer.server);

  startTask("settings", (signal) =>
    settings.followStore(file.instance, () => membership.liveLocalEntryVms(), signal),
  );
  startTask("machine list", (signal) =>
    pollMachineList(
      createHttpMachineListSource(file.platformUrl, platformTimeout),
      fleet,
      membership,
      clock,
      signal,
    ),
  );
  startTask("claims", (signal) => retryUnrecordedVerdicts(router.claims, clock, signal));
  startTask("own facts", (signal) => publishOwnFacts(router, signal));
  startTask("burn counts", async (signal) => {
    await restoreBurnCounts(file.instance, router, objects);
    await storeBurnCounts(file.instance, router.burn, objects, clock, signal);
  });
  const peerNames = groupPeerNames(file);
  for (const peer of peers) {
    startTask(`peer ${peer.address.name}`, (signal) =>
      gossipWithPeer(peer, peerNames, membership, settings, clock, signal),
    );
  }
  logger.info("started", { callerPort: callerServer.port, controlPort: controlServer.port });
  return {
    callerPort: callerServer.port,
    controlPort: controlServer.port,
    stop,
    abortRequests: () => {
      router.gate.abortRequests();
    },
  };
}

// Stops in this order: report unready, admit no new requests, wait for the requests in
// progress, retry the unrecorded verdicts for a limited time, and release all resources.
async function stopGracefully(
  file: StartUpFile,
  router: Router,
  lifecycle: LifecycleManager,
): Promise<void> {
  const { clock, logger, gate, claims } = router;
  logger.info("stopping", { inProgress: gate.inProgress });
  await clock.sleep(file.unreadyMilliseconds, gate.abortSignal);
  await gate.close();
  const deadline = clock.monotonicTime() + verdictRecordingTimeout;
  while (claims.unrecordedVerdictCount > 0 && clock.monotonicTime() < deadline) {
    await claims.retryUnrecordedVerdicts();
    await clock.sleep(verdictRetryInterval);
  }
  if (claims.unrecordedVerdictCount > 0)
    logger.warn("stopping with unrecorded verdicts", { count: claims.unrecordedVerdictCount });
  const failedResources = await lifecycle.close();
  router.metrics.close(() => undefined);
  logger.info("stopped", { failed: failedResources });
}

async function publishOwnFacts(router: Router, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const demand = router.admissions.adaptCapacities(router.settings.view);
    router.membership.publishOwnFacts(router.isStopping(), demand);
    for (const { group, length, age } of router.admissions.status) {
      router.metrics.gauge("queue.length", length, { group });
      router.metrics.gauge("queue.age", age, { group });
    }
    await router.clock.sleep(adaptInterval, signal);
  }
}

async function restoreBurnCounts(
  instance: string,
  router: Router,
  objects: ReturnType<typeof createHttpObjectStore>,
): Promise<void> {
  const stored = await objects.get(`burn-${instance}`);
  if (stored.isErr || stored.value === undefined) return;
  try {
    router.burn.merge(stored.value as BurnSnapshot);
  } catch {
    router.logger.warn("stored burn counts are invalid; starting without them");
  }
}

function listEngineAddresses(view: SettingsView) {
  return new Map(
    [...view.targets].flatMap(([name, target]) =>
      target.kind === TargetKind.Engine
        ? [[name, { host: target.host, port: target.port }] as const]
        : [],
    ),
  );
}

function createVersionTasks(router: Router, table: TableService, view: SettingsView) {
  const { clock, logger, instance, createId } = router;
  return new Map(
    [...view.pipelines.keys()].map((pipeline) => {
      const lease = new Lease({
        name: pipeline,
        holder: instance,
        table,
        clock,
        createNonce: createId,
        duration: leaseDuration,
        gracePeriod: leaseGracePeriod,
      });
      const task = (signal: AbortSignal): Promise<void> =>
        reconcileVersions(lease, () => getDesiredVersion(router, pipeline), clock, logger, signal);
      return [pipeline, task] as const;
    }),
  );
}

function getDesiredVersion(router: Router, pipeline: string): DesiredState {
  const view = router.settings.view;
  const engines = [...view.targets].flatMap(([name, target]) => {
    const control = router.engines.control(name);
    if (target.kind !== TargetKind.Engine || control === undefined) return [];
    if (target.pipeline !== pipeline) return [];
    return [{ name, layerRange: `${target.firstLayer}-${target.endLayer}`, ...control }];
  });
  const isContender = router.membership.hasRole(`orders ${pipeline}`, orderContenderCount);
  return { version: view.pipelines.get(pipeline)?.version, engines, isContender };
}

function createProbeTasks(router: Router, view: SettingsView) {
  return new Map(
    [...view.targets].map(([name, target]) => {
      const dependencies = { ...router, self: router.membership.self };
      const task = (signal: AbortSignal): Promise<void> =>
        probeTarget(name, target, dependencies, signal);
      return [`${name} at ${target.host}:${target.port}`, task] as const;
    }),
  );
}

function groupPeerNames(file: StartUpFile) {
  const isLocal = (peer: { readonly dataCentre: string }): boolean =>
    peer.dataCentre === file.dataCentre;
  return {
    local: file.peers.filter(isLocal).map(({ name }) => name),
    remote: file.peers.filter((peer) => !isLocal(peer)).map(({ name }) => name),
  };
}

function registerServer(
  lifecycle: LifecycleManager,
  name: string,
  server: Awaited<ReturnType<typeof listen>>["server"],
): void {
  lifecycle.addResource(
    name,
    () =>
      new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      }),
  );
}
