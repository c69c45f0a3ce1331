//! Puts the parts of an entry VM together, and takes them apart again when it stops.
import { StreamWatch, TargetBook } from "@lovagebend/attempts";
import { answerFor, LifecycleManager, readBody, type Milliseconds } from "@lovagebend/common";
import { TargetConnections } from "@lovagebend/forwarding";
import { RepeatBudget } from "@lovagebend/limits";
import { LossWatch, Placer } from "@lovagebend/placement";
import http from "node:http";
import { FrontServer, type FrontServices } from "./front-server.js";
import { Knowledge } from "./knowledge.js";
import { EntryMetrics } from "./metrics.js";
import { Peers } from "./peers.js";
import { placeLayers } from "./place-layers.js";
import { exchangeLoans } from "./repeat-loans.js";
import type { Address, EntryPorts } from "./ports.js";

/// `stop` is the graceful shutdown: it resolves when no request is in progress, or when
/// the time for it is over.
export interface RunningEntryVm {
  stop(): Promise<void>;
}

// The operator's document and all entries of targets, several times over.
const largestPeerMessageBytes = 8 * 1024 * 1024;
const upkeepPause: Milliseconds = 250;
const followDuty = "follow targets";
// Of each data centre: enough that the loss of two entry VMs, and a store that turns a
// third of them away, leave one.
const closeFollowers = 4;
const stopCheckPause: Milliseconds = 50;
// Kept of the time to stop, for the process itself to end.
const exitReserve: Milliseconds = 400;

/// Starts an entry VM. Throws when it cannot listen.
export async function startEntryVm(ports: EntryPorts): Promise<RunningEntryVm> {
  const { identity, clock, logger } = ports;
  const lifecycle = new LifecycleManager();
  const book = new TargetBook(clock, logger);
  const knowledge = new Knowledge(ports, book);
  const peers = new Peers(identity, knowledge, clock, logger);
  const engines = ports.engines(book);
  const watch = new StreamWatch(book, engines, clock, logger);
  const connections = new TargetConnections();
  const metrics = new EntryMetrics();
  const budget = new RepeatBudget(ports.terms.repeats);
  book.onDoubt = () => {
    peers.hurry();
  };
  knowledge.onNews = () => {
    peers.hurry();
  };
  knowledge.followsClosely = () => peers.isAmongFirst(followDuty, closeFollowers);
  let isStopping = false;
  let refusesNew = false;
  const services: FrontServices = {
    clock,
    logger,
    book,
    connections,
    names: ports.names,
    budget,
    engines,
    watch,
    dataCentre: identity.dataCentre,
    entryVmCount: () => peers.count(),
    localEntryVmCount: () => peers.liveHere(),
    formatPath: ports.formatPath,
    knowledge,
    metrics,
    isStopping: () => isStopping,
    refusesNew: () => refusesNew,
  };
  const front = new FrontServer(services);
  const readiness = http.createServer((request, response) => {
    const isReady = request.url === identity.readinessPath && knowledge.isComplete && !isStopping;
    response.writeHead(isReady ? 200 : 503, { "content-length": 0 }).end();
  });
  const peerServer = http.createServer((request, response) => {
    void answerPeer(peers, request, response);
  });
  metrics.gauge("requests_in_progress", "Requests in progress", () => front.inProgress);
  metrics.gauge(
    "settings_version",
    "Version of the settings in force",
    () => knowledge.routes?.version ?? 0,
  );
  metrics.gauge("entry_vms_live", "Entry VMs heard of lately", () => peers.live().length);

  const listen = async (name: string, server: http.Server, address: Address): Promise<void> => {
    await listening(server, address);
    lifecycle.own(name, () => {
      server.close();
      server.closeAllConnections();
    });
  };
  lifecycle.own("target connections", () => {
    connections.close();
  });
  await listen("peer server", peerServer, identity.peers);
  await listen("readiness server", readiness, identity.readiness);
  await listen("caller server", front.server, identity.callers);
  if (identity.metrics !== undefined)
    await listen("metrics server", metricsServer(metrics, identity.metricsPath), identity.metrics);
  const subscription = knowledge.follow();
  lifecycle.own("store feeds", () => {
    subscription.unsubscribe();
  });
  const run = (name: string, task: (signal: AbortSignal) => Promise<void>): void => {
    lifecycle.run(name, task, (failed, error) => {
      logger.error("task failed", { task: failed, detail: String(error) });
    });
  };
  run("peers", (signal) => peers.run(signal));
  run("registration", () => peers.register(ports.store, ports.tables.entryVms));
  run("repeat loans", (signal) => exchangeLoans({ budget, peers, clock, logger }, signal));
  run("stream watch", (signal) => watch.run(signal));
  const placer = new Placer(engines, clock, logger);
  const losses = new LossWatch(engines, logger);
  run("placement", (signal) =>
    placeLayers({ book, knowledge, peers, placer, losses, clock }, signal),
  );
  run("upkeep", async (signal) => {
    let followedClosely = true;
    while (!signal.aborted) {
      book.expire();
      const followsClosely = knowledge.followsClosely();
      if (followsClosely !== followedClosely) logger.info("store feed", { followsClosely });
      followedClosely = followsClosely;
      if (knowledge.routes !== undefined) front.limit(knowledge.routes);
      await clock.sleep(upkeepPause, signal);
    }
  });
  logger.info("started", { dataCentre: identity.dataCentre });

  return {
    async stop() {
      if (isStopping) return;
      const begin = clock.monotonic();
      isStopping = true;
      peers.stop();
      logger.info("stopping", { inProgress: front.inProgress });
      await clock.sleep(ports.terms.unreadyTime);
      refusesNew = true;
      front.server.closeIdleConnections();
      while (front.inProgress > 0 && clock.monotonic() - begin < ports.terms.grace - exitReserve) {
        await clock.sleep(stopCheckPause);
        front.server.closeIdleConnections();
      }
      logger.info("stopped", { inProgress: front.inProgress });
      await lifecycle.close();
    },
  };
}

async function answerPeer(
  peers: Peers,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const body = await readBody(request, largestPeerMessageBytes);
  if (body.isErr) {
    response.writeHead(answerFor(body.error.kind).status, { connection: "close" }).end();
    return;
  }
  const reply = await peers.receive(body.value.toString("utf8"));
  response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(reply));
}

function metricsServer(metrics: EntryMetrics, path: string): http.Server {
  return http.createServer((request, response) => {
    if (request.url !== path) {
      response.writeHead(404).end();
      return;
    }
    void metrics.registry.metrics().then((text) => {
      response.writeHead(200, { "content-type": metrics.registry.contentType }).end(text);
    });
  });
}

function listening(server: http.Server, address: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
}
