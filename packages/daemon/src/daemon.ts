//! Puts a daemon together from its parts and takes it apart again.
import { BurnCounts, type BurnSnapshot } from "@lovagebend/burn";
import { ClaimLedger } from "@lovagebend/claims";
import { LifecycleManager, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import { RetryBudget } from "@lovagebend/limits";
import { Lease, reconcileVersions, type WantedVersion } from "@lovagebend/orders";
import { EngineDirectory, ResumeKey } from "@lovagebend/pipeline";
import {
  httpMachineList,
  httpObjectStore,
  httpTableService,
  type TableService,
} from "@lovagebend/platform";
import { PrefixIndex } from "@lovagebend/routing";
import { SettingsStore, TargetKind, type SettingsView } from "@lovagebend/settings";
import { Admissions } from "./admissions.js";
import { answerCaller } from "./caller-server.js";
import { answerControl } from "./control-server.js";
import { FleetTracker } from "@lovagebend/membership";
import { listen } from "./http-reply.js";
import { KeyedTasks } from "./keyed-tasks.js";
import { createMetrics } from "./metrics.js";
import { Neighbourhood } from "@lovagebend/membership";
import { peerServer, PeerClient } from "./peer-protocol.js";
import { RequestGate } from "./request-gate.js";
import type { Router } from "./router.js";
import { SettingsKeeper } from "@lovagebend/settings";
import type { StartUpFile } from "./start-up-file.js";
import {
  followMachineList,
  followPeer,
  probeTarget,
  settleClaims,
  storeBurnCounts,
} from "./tasks.js";

/// What a daemon takes from its process.
export interface Surroundings {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly createId: () => string;
}

/// A daemon at work. `stop` is the graceful shutdown; it resolves when no request is
/// in progress. `cutOff` ends requests in progress; their callers are told to resume.
export interface RunningDaemon {
  readonly callerPort: number;
  readonly controlPort: number;
  stop(): Promise<void>;
  cutOff(): void;
}

const platformTimeout: Milliseconds = 1_500;
const engineTimeout: Milliseconds = 1_000;
const adaptPause: Milliseconds = 1_000;
const leaseDuration: Milliseconds = 10_000;
const orderContenders = 2;
const leaseGrace: Milliseconds = 2_000;
const backlogPatience: Milliseconds = 10_000;
const backlogPause: Milliseconds = 200;

/// Starts a daemon. Throws when it cannot listen.
export async function startDaemon(
  file: StartUpFile,
  surroundings: Surroundings,
): Promise<RunningDaemon> {
  const { clock, logger, createId } = surroundings;
  const lifecycle = new LifecycleManager();
  const table = httpTableService(file.platformUrl, platformTimeout);
  const store = new SettingsStore(table, clock, createId);
  const objects = httpObjectStore(file.platformUrl, platformTimeout);
  const settings = new SettingsKeeper(store, clock, logger);
  const fleet = new FleetTracker(clock);
  const neighbourhood = new Neighbourhood(file.instance, file.dataCentre, clock, settings, fleet);
  let stopping: Promise<void> | undefined;
  const router: Router = {
    instance: `${file.instance}-${neighbourhood.incarnation.toString(36)}`,
    dataCentre: file.dataCentre,
    clock,
    logger,
    metrics: createMetrics(file),
    settings,
    fleet,
    neighbourhood,
    engines: new EngineDirectory(engineTimeout),
    prefixes: new PrefixIndex(),
    admissions: new Admissions(clock, fleet, neighbourhood),
    claims: new ClaimLedger({ table, clock, holder: file.instance, createNonce: createId }),
    retries: new RetryBudget(),
    burn: new BurnCounts(),
    resumeKey: new ResumeKey(file.keys.resume),
    gate: new RequestGate(),
    createId,
    isStopping: () => stopping !== undefined,
  };
  const peers = file.peers.map((peer) => new PeerClient(peer, file.keys.peer));
  const onFailure = (name: string, error: unknown): void => {
    logger.error("task failed", { task: name, detail: String(error) });
  };
  const run = (name: string, task: (signal: AbortSignal) => Promise<void>): void => {
    lifecycle.run(name, task, onFailure);
  };

  lifecycle.own("engine channels", () => {
    router.engines.close();
  });
  const probes = new KeyedTasks(lifecycle, onFailure);
  const reconcilers = new KeyedTasks(lifecycle, onFailure);
  const follow = settings.changes.subscribe((view) => {
    fleet.configure(view);
    router.engines.configure(engineAddresses(view));
    probes.configure(targetTasks(router, view));
    reconcilers.configure(versionTasks(router, table, view));
  });
  lifecycle.own("settings subscription", () => {
    follow.unsubscribe();
  });

  const stop = (): Promise<void> => {
    stopping ??= stopGracefully(file, router, lifecycle);
    return stopping;
  };
  const control = await listen(file.control, (request, response) =>
    answerControl(
      router,
      {
        file,
        store,
        peerServer: peerServer(neighbourhood, settings, router.burn, () => clock.monotonic()),
        peers,
        drain: () => void stop(),
      },
      request,
      response,
    ),
  );
  own(lifecycle, "control server", control.server);
  const callers = await listen(file.callers, (request, response) =>
    answerCaller(router, request, response),
  );
  own(lifecycle, "caller server", callers.server);

  run("settings", (signal) =>
    settings.keepCurrent(file.instance, () => neighbourhood.liveLocal(), signal),
  );
  run("machine list", (signal) =>
    followMachineList(
      httpMachineList(file.platformUrl, platformTimeout),
      fleet,
      neighbourhood,
      clock,
      signal,
    ),
  );
  run("claims", (signal) => settleClaims(router.claims, clock, signal));
  run("own facts", (signal) => stateOwnFacts(router, signal));
  run("burn counts", async (signal) => {
    await takeUpBurnCounts(file.instance, router, objects);
    await storeBurnCounts(file.instance, router.burn, objects, clock, signal);
  });
  const names = namesByPlace(file);
  for (const peer of peers) {
    run(`peer ${peer.address.name}`, (signal) =>
      followPeer(peer, names, neighbourhood, settings, clock, signal),
    );
  }
  logger.info("started", { callerPort: callers.port, controlPort: control.port });
  return {
    callerPort: callers.port,
    controlPort: control.port,
    stop,
    cutOff: () => {
      router.gate.cutOff();
    },
  };
}

// Unready first, then no new requests, then none in progress, then no verdict that
// the store has not recorded, then everything else.
async function stopGracefully(
  file: StartUpFile,
  router: Router,
  lifecycle: LifecycleManager,
): Promise<void> {
  const { clock, logger, gate, claims } = router;
  logger.info("stopping", { inProgress: gate.inProgress });
  await clock.sleep(file.unreadyMilliseconds, gate.cutSignal);
  await gate.close();
  const patienceEnd = clock.monotonic() + backlogPatience;
  while (claims.backlog > 0 && clock.monotonic() < patienceEnd) {
    await claims.settleBacklog();
    await clock.sleep(backlogPause);
  }
  if (claims.backlog > 0) logger.warn("verdicts not recorded", { count: claims.backlog });
  const failed = await lifecycle.close();
  router.metrics.close(() => undefined);
  logger.info("stopped", { failed });
}

async function stateOwnFacts(router: Router, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const demand = router.admissions.adapt(router.settings.view);
    router.neighbourhood.stateSelf(router.isStopping(), demand);
    for (const { group, length, age } of router.admissions.status) {
      router.metrics.gauge("queue.length", length, { group });
      router.metrics.gauge("queue.age", age, { group });
    }
    await router.clock.sleep(adaptPause, signal);
  }
}

async function takeUpBurnCounts(
  instance: string,
  router: Router,
  objects: ReturnType<typeof httpObjectStore>,
): Promise<void> {
  const stored = await objects.get(`burn-${instance}`);
  if (stored.isErr || stored.value === undefined) return;
  try {
    router.burn.merge(stored.value as BurnSnapshot);
  } catch {
    router.logger.warn("stored burn counts not understood");
  }
}

function engineAddresses(view: SettingsView) {
  return new Map(
    [...view.targets].flatMap(([name, target]) =>
      target.kind === TargetKind.Engine
        ? [[name, { host: target.host, port: target.port }] as const]
        : [],
    ),
  );
}

function versionTasks(router: Router, table: TableService, view: SettingsView) {
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
        grace: leaseGrace,
      });
      const task = (signal: AbortSignal): Promise<void> =>
        reconcileVersions(lease, () => wantedVersion(router, pipeline), clock, logger, signal);
      return [pipeline, task] as const;
    }),
  );
}

function wantedVersion(router: Router, pipeline: string): WantedVersion {
  const view = router.settings.view;
  const engines = [...view.targets].flatMap(([name, target]) => {
    const control = router.engines.control(name);
    if (target.kind !== TargetKind.Engine || control === undefined) return [];
    if (target.pipeline !== pipeline) return [];
    return [{ name, range: `${target.firstLayer}-${target.endLayer}`, ...control }];
  });
  const contends = router.neighbourhood.hasDuty(`orders ${pipeline}`, orderContenders);
  return { version: view.pipelines.get(pipeline)?.version, engines, contends };
}

function targetTasks(router: Router, view: SettingsView) {
  return new Map(
    [...view.targets].map(([name, target]) => {
      const surroundings = { ...router, self: router.neighbourhood.self };
      const task = (signal: AbortSignal): Promise<void> =>
        probeTarget(name, target, surroundings, signal);
      return [`${name} at ${target.host}:${target.port}`, task] as const;
    }),
  );
}

function namesByPlace(file: StartUpFile) {
  const isLocal = (peer: { readonly dataCentre: string }): boolean =>
    peer.dataCentre === file.dataCentre;
  return {
    local: file.peers.filter(isLocal).map(({ name }) => name),
    remote: file.peers.filter((peer) => !isLocal(peer)).map(({ name }) => name),
  };
}

function own(
  lifecycle: LifecycleManager,
  name: string,
  server: Awaited<ReturnType<typeof listen>>["server"],
): void {
  lifecycle.own(
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
