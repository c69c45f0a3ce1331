//! Assembles the parts of an entry VM, starts its servers and background tasks, and shuts
//! them down gracefully.
import {
  CrashReporter,
  StreamWatch,
  TargetLinks,
  TargetRegistry,
  WaitingRequests,
} from "@lovagebend/attempts";
import { LifecycleManager, runDetached, type Logger, type Milliseconds } from "@lovagebend/common";
import { AnswerMemory, probeConnection, TargetConnections } from "@lovagebend/forwarding";
import { FairAdmissions, LinkBudget, RetryPurpose, SharedRetryBudget } from "@lovagebend/limits";
import { PromptQuarantine } from "@lovagebend/quarantine";
import type http from "node:http";
import { AdmissionReport } from "./admission-report.js";
import { createBoundedServer } from "./bounded-server.js";
import { CallerServer, type CallerServerServices } from "./caller-server.js";
import { ReplicatedState } from "./replicated-state.js";
import { DelayMonitor } from "./delay-monitor.js";
import { EntryMetrics } from "./metrics.js";
import { refuseOwnAddresses } from "./own-addresses.js";
import { RequestSource } from "./open-requests.js";
import { PeerRelay } from "./peer-relay.js";
import { createPeerServer } from "./peer-server.js";
import { Peers } from "./peers.js";
import { LayerPlacement } from "./place-layers.js";
import { reviewQuarantine, storeVerdicts } from "./review-quarantine.js";
import { ProcessorLimit, turnInterval } from "./processor-limit.js";
import { RetryLoans } from "./retry-loans.js";
import { RetryReport } from "./retry-report.js";
import { SharedRequestLimiter } from "./shared-request-limiter.js";
import type { Address, EntryDependencies } from "./entry-dependencies.js";
import { GracefulStop } from "./graceful-stop.js";

/// `stop` is the graceful shutdown: it resolves when no request is in progress, or shortly
/// before the shutdown timeout. Further calls return the same promise.
export interface RunningEntryVm {
  stop(): Promise<void>;
}

// A tenth of the memory of the smallest VM.
const maximumAnswerMemoryBytes = 24 * 1024 * 1024;
// On the smallest VM this is the same. With less memory for callers, answers take less too.
const answerMemoryFraction = 0.4;
const maintenanceInterval: Milliseconds = 250;
/// Starts an entry VM. Throws if it cannot listen on one of its addresses; then none of its
/// servers remains.
export async function startEntryVm(dependencies: EntryDependencies): Promise<RunningEntryVm> {
  const { identity, clock, logger } = dependencies;
  const lifecycle = new LifecycleManager();
  const targetRegistry = new TargetRegistry(clock, logger);
  const replicatedState = new ReplicatedState(
    { ...dependencies, readTarget: refuseOwnAddresses(dependencies.readTarget, identity) },
    targetRegistry,
  );
  const quarantine = new PromptQuarantine();
  const requestLimiter = new SharedRequestLimiter(clock, logger);
  const targetLinks = new TargetLinks(
    targetRegistry,
    ({ host, port }) => probeConnection(host, port),
    identity.dataCentre,
    clock,
    logger,
  );
  const waitingRequests = new WaitingRequests(targetRegistry, targetLinks, clock, logger);
  targetRegistry.hasLinks = (service) => !targetLinks.isLost(service);
  const peers = new Peers(
    identity,
    replicatedState,
    quarantine,
    requestLimiter,
    targetLinks,
    dependencies.store.era,
    clock,
    logger,
  );
  requestLimiter.connect(peers);
  requestLimiter.onChange = () => {
    peers.publishNow();
  };
  const engines = dependencies.createEngineClient(targetRegistry);
  const watch = new StreamWatch(targetRegistry, engines, clock, logger);
  const connections = new TargetConnections();
  const metrics = new EntryMetrics();
  connections.onExchange = (report) => {
    metrics.recordExchange(report);
  };
  const budget = new SharedRetryBudget(dependencies.limits.retryBudget);
  const retryReport = new RetryReport(metrics, clock, logger);
  const loans = new RetryLoans({
    budget,
    peers,
    entryVmCount: () => peers.directory.count(),
    clock,
    logger,
  });
  budget.onDecision = (decision) => {
    retryReport.record(decision);
    if (!decision.isGranted && decision.purpose === RetryPurpose.Resume) loans.hasten();
  };
  const placement = new LayerPlacement({
    ownName: identity.name,
    targetRegistry,
    replicatedState,
    peers,
    engines,
    clock,
    logger,
  });
  placement.onTakeover = (reason) => {
    metrics.recordPlacementTakeover(reason);
  };
  placement.onOrder = (outcome) => {
    metrics.recordLayerOrder(outcome);
  };
  targetRegistry.onSuspicion = (service) => {
    peers.triggerExchange();
    placement.reportSuspicions();
    if (service !== undefined) runDetached(logger, "check of links", targetLinks.check(service));
  };
  targetLinks.onChange = () => {
    peers.publishNow();
  };
  quarantine.onChange = () => {
    peers.triggerExchange();
  };
  replicatedState.onStoreChanges = () => {
    peers.triggerExchange();
  };
  replicatedState.shouldFollowDirectly = () => peers.followers.includesThis();
  const admissions = new FairAdmissions(dependencies.limits.admissionOrder);
  const admissionReport = new AdmissionReport(metrics, logger);
  admissions.onDecision = (service, decision) => {
    admissionReport.recordAdmission(service, decision);
  };
  const processorLimit = new ProcessorLimit();
  const gracefulStop = new GracefulStop(dependencies.limits, clock, logger);
  const answerMemory = new AnswerMemory(
    Math.min(
      maximumAnswerMemoryBytes,
      dependencies.limits.callers.memoryBytes * answerMemoryFraction,
    ),
  );
  const relay = new PeerRelay({
    dataCentre: identity.dataCentre,
    directory: peers.directory,
    headerNames: dependencies.headerNames,
    answerMemory,
    metrics,
    clock,
    logger,
  });
  const services: CallerServerServices = {
    clock,
    logger,
    targetRegistry,
    connections,
    answerMemory,
    targetLinks,
    waitingRequests,
    relay,
    headerNames: dependencies.headerNames,
    budget,
    engines,
    watch,
    crashReporter: new CrashReporter(engines, quarantine, clock, logger),
    quarantine,
    requestLimiter,
    links: new LinkBudget(),
    admissions,
    admissionReport,
    processorLimit,
    holdsTrial: (part) => peers.directory.hasRole(`trial of ${part}`),
    dataCentre: identity.dataCentre,
    entryVmCount: () => peers.directory.count(),
    localEntryVmCount: () => peers.directory.countLocal(),
    formatPath: dependencies.formatPath,
    replicatedState,
    metrics,
    gracefulStop,
  };
  const callerServer = new CallerServer(services, dependencies.limits.callers);
  const readinessServer = createBoundedServer(logger, (request, response) => {
    const isReady =
      request.url === identity.readinessPath &&
      replicatedState.isComplete &&
      !gracefulStop.isStopping;
    response.writeHead(isReady ? 200 : 503, { "content-length": 0 }).end();
  });
  const peerServer = createPeerServer(
    peers,
    (request, response) => callerServer.handleRequest(request, response, RequestSource.Peer),
    logger,
  );
  metrics.addGauge("requests_in_progress", "Requests in progress", () => callerServer.inProgress);
  metrics.addGauge(
    "processor_limit",
    "Requests that may be in progress; 0 while all are accepted",
    () => processorLimit.limit ?? 0,
  );
  metrics.addGauge(
    "timer_lateness_seconds",
    "Average lateness of timers, by which requests are limited",
    () => processorLimit.lateness / 1_000,
  );
  metrics.addServiceGauge(
    "admission_limit",
    "Requests a second that are admitted to a service; none while all are",
    () =>
      new Map(
        [...admissions.list()].flatMap(([service, { currentLimit }]) =>
          currentLimit === undefined ? [] : [[service, currentLimit]],
        ),
      ),
  );
  metrics.addServiceGauge(
    "target_links_lost",
    "1 while this entry VM reaches no target of a service",
    () => new Map(targetLinks.listLost().map((service) => [service, 1])),
  );
  metrics.addGauge(
    "settings_version",
    "Version of the settings in force",
    () => replicatedState.routes?.version ?? 0,
  );
  metrics.addGauge(
    "prompt_parts_quarantined",
    "Parts of prompts that are kept away from targets",
    () => quarantine.activeVerdictCount,
  );
  metrics.addGauge(
    "entry_vms_live",
    "Entry VMs heard of lately",
    () => peers.directory.findLive().length,
  );

  metrics.addGauge("placement_role", "1 if this entry VM places layers", () =>
    placement.isHolder ? 1 : 0,
  );
  metrics.addGauge(
    "layer_loads_in_progress",
    "Loads of layers that the holder of the placement role has ordered",
    () => placement.loadsInProgress,
  );
  metrics.addGauge(
    "engines_lost",
    "Engines that the holder of the placement role takes for lost",
    () => placement.lostEngineCount,
  );
  metrics.addGauge("store_era", "Era of the store", () => dependencies.store.era.current);
  const eraChanges = dependencies.store.era.changes.subscribe(() => {
    metrics.recordEraChange();
  });
  lifecycle.addResource("store era", () => {
    eraChanges.unsubscribe();
  });

  const startServer = async (
    name: string,
    server: http.Server,
    address: Address,
  ): Promise<void> => {
    await listen(server, address);
    lifecycle.addResource(name, () => {
      server.close();
      server.closeAllConnections();
    });
  };
  lifecycle.addResource("target connections", () => {
    connections.close();
  });
  lifecycle.addResource("relay connections", () => {
    relay.close();
  });
  try {
    await startServer("peer server", peerServer, identity.peers);
    await startServer("readiness server", readinessServer, identity.readiness);
    await startServer("caller server", callerServer.server, identity.callers);
    if (identity.metrics !== undefined)
      await startServer(
        "metrics server",
        createMetricsServer(metrics, identity.metricsPath, logger),
        identity.metrics,
      );
  } catch (error) {
    await lifecycle.close();
    throw error;
  }
  const subscription = replicatedState.followStore();
  lifecycle.addResource("store feeds", () => {
    subscription.unsubscribe();
  });
  const runTask = (name: string, task: (signal: AbortSignal) => Promise<void>): void => {
    lifecycle.startTask(name, task, (failed, error) => {
      logger.error("task failed", { task: failed, detail: String(error) });
    });
  };
  runTask("peers", (signal) => peers.run(signal));
  runTask("registration", (signal) =>
    peers.register(dependencies.store, dependencies.tables.entryVms, signal),
  );
  runTask("retry loans", (signal) => loans.run(signal));
  const quarantineParts = {
    quarantine,
    peers,
    store: dependencies.store,
    table: dependencies.tables.verdicts,
    clock,
    logger,
  };
  runTask("quarantine", (signal) => reviewQuarantine(quarantineParts, signal));
  runTask("verdicts", (signal) => storeVerdicts(quarantineParts, signal));
  runTask("stream watch", (signal) => watch.run(signal));
  runTask("links to targets", (signal) => targetLinks.run(signal));
  runTask("waiting requests", (signal) => waitingRequests.run(signal));
  runTask("placement", (signal) => placement.run(signal));
  const delays = new DelayMonitor(logger, (delay) => {
    metrics.recordDelay(delay / 1_000);
  });
  runTask("processor limit", async (signal) => {
    while (!signal.aborted) {
      const due = clock.monotonicTime() + turnInterval;
      await clock.sleep(turnInterval, signal);
      const now = clock.monotonicTime();
      processorLimit.recordTurn(now - due, now);
    }
  });
  runTask("maintenance", async (signal) => {
    let wasDirect = true;
    while (!signal.aborted) {
      targetRegistry.expire();
      admissionReport.review(admissions, processorLimit, clock.monotonicTime());
      callerServer.sweep();
      requestLimiter.retain((target) => targetRegistry.get(target) !== undefined);
      const isDirect = replicatedState.shouldFollowDirectly();
      if (isDirect !== wasDirect) logger.info("store feed", { followsClosely: isDirect });
      wasDirect = isDirect;
      if (replicatedState.routes !== undefined) callerServer.applyLimits(replicatedState.routes);
      const due = clock.monotonicTime() + maintenanceInterval;
      await clock.sleep(maintenanceInterval, signal);
      delays.recordTurn(due, clock.monotonicTime());
    }
  });
  logger.info("started", { dataCentre: identity.dataCentre });

  let stopped: Promise<void> | undefined;
  const stop = async (): Promise<void> => {
    peers.stop();
    await gracefulStop.run(callerServer);
    await lifecycle.close();
  };
  return { stop: () => (stopped ??= stop()) };
}

function createMetricsServer(metrics: EntryMetrics, path: string, logger: Logger): http.Server {
  return createBoundedServer(logger, (request, response) => {
    if (request.url !== path) {
      response.writeHead(404).end();
      return;
    }
    const answering = metrics.registry.metrics().then((text) => {
      response.writeHead(200, { "content-type": metrics.registry.contentType }).end(text);
    });
    runDetached(logger, "metrics request", answering);
  });
}

function listen(server: http.Server, address: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
}
