//! The HTTP server for operators and for the JSON-RPC calls of peers.
import { buildBurnReport, BurnCounts } from "@lovagebend/burn";
import {
  describeIssues,
  ErrorKind,
  parseJson,
  RouterError,
  RunState,
  readBody,
} from "@lovagebend/common";
import type { SettingsStore } from "@lovagebend/settings";
import type { JSONRPCServer } from "json-rpc-2.0";
import type http from "node:http";
import { z } from "zod";
import { digestBearerToken, areDigestsEqual, sendError, sendJson, sha256 } from "./http-server.js";
import type { PeerClient } from "./peer-protocol.js";
import type { Router } from "./router.js";
import type { StartUpFile } from "./start-up-file.js";

/// The dependencies of the control server beside the router. `drain` starts a graceful stop.
export interface ControlOptions {
  readonly file: StartUpFile;
  readonly store: SettingsStore;
  readonly peerServer: JSONRPCServer;
  readonly peers: readonly PeerClient[];
  readonly drain: () => void;
}

const maximumBodyBytes = 8 * 1024 * 1024;
const maximumHistoryChanges = 50;
const settingsPrefix = "/v1/settings/";

const applyRequestSchema = z.object({
  document: z.unknown(),
  baseRevision: z.number().int().min(0),
});
const rpcRequestSchema = z.object({
  jsonrpc: z.literal("2.0"),
  method: z.string(),
  id: z.union([z.string(), z.number()]),
  params: z.unknown(),
});

/// Handles one request of an operator or a peer. Never throws.
export async function handleControlRequest(
  router: Router,
  options: ControlOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  try {
    const url = new URL(request.url ?? "/", "http://control");
    if (url.pathname === "/rpc") await handlePeerRequest(options, request, response);
    else await handleOperatorRequest(router, options, url, request, response);
  } catch (error) {
    const isRouterError = error instanceof RouterError;
    if (!isRouterError) router.logger.error("control request failed", { detail: String(error) });
    sendError(
      response,
      isRouterError ? error : new RouterError(ErrorKind.Internal, RunState.Unknown),
      "",
    );
  }
}

async function handlePeerRequest(
  options: ControlOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const digest = digestBearerToken(request);
  if (digest === undefined || !areDigestsEqual(digest, sha256(options.file.keys.peer))) {
    throw new RouterError(ErrorKind.Unauthenticated, RunState.NotRun);
  }
  const call = await readJson(rpcRequestSchema, request);
  sendJson(response, 200, await options.peerServer.receive(call));
}

async function handleOperatorRequest(
  router: Router,
  options: ControlOptions,
  url: URL,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const operator = authenticate(options, request);
  const { pathname } = url;
  if (request.method === "PUT" && pathname.startsWith(settingsPrefix)) {
    const team = pathname.slice(settingsPrefix.length);
    await applySettings(router, options, operator, team, request, response);
    return;
  }
  switch (`${request.method ?? ""} ${pathname}`) {
    case "GET /v1/settings":
      sendJson(response, 200, {
        revision: router.settings.state.revision,
        teams: [...router.settings.state.teams.values()],
      });
      return;
    case "GET /v1/history":
      await sendHistory(options, router, response);
      return;
    case "GET /v1/status":
      sendJson(response, 200, buildStatus(router, options));
      return;
    case "GET /v1/targets":
      sendJson(response, 200, { targets: router.fleet.view.getAllTargets() });
      return;
    case "GET /v1/queues":
      sendJson(response, 200, { queues: router.admissions.status });
      return;
    case "GET /v1/burn":
      await sendBurnReport(router, options, response);
      return;
    case "POST /v1/drain":
      options.drain();
      sendJson(response, 202, { inProgress: router.gate.inProgress });
      return;
    default:
      throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
  }
}

function authenticate(options: ControlOptions, request: http.IncomingMessage) {
  const digest = digestBearerToken(request);
  const operator = options.file.operators.find(
    ({ keyDigest }) => digest !== undefined && areDigestsEqual(keyDigest, digest),
  );
  if (operator === undefined) throw new RouterError(ErrorKind.Unauthenticated, RunState.NotRun);
  return operator;
}

async function applySettings(
  router: Router,
  options: ControlOptions,
  operator: StartUpFile["operators"][number],
  team: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  if (!/^[a-z0-9][a-z0-9-]{0,62}$/.test(team)) {
    throw new RouterError(
      ErrorKind.MalformedRequest,
      RunState.NotRun,
      "A team name has 1 to 63 characters of a-z, 0-9 and -.",
    );
  }
  if (!operator.teams.includes("*") && !operator.teams.includes(team)) {
    throw new RouterError(ErrorKind.Forbidden, RunState.NotRun);
  }
  const { document, baseRevision } = await readJson(applyRequestSchema, request);
  const outcome = await options.store.apply({
    team,
    document,
    baseRevision,
    author: operator.name,
  });
  router.logger.info("settings change processed", {
    team,
    author: operator.name,
    outcome: outcome.kind,
  });
  switch (outcome.kind) {
    case "committed":
      await router.settings.poll();
      sendJson(response, 200, { revision: outcome.revision });
      return;
    case "conflict": {
      const { winner } = outcome;
      const detail = `${winner.author} changed it at ${winner.time}, revision ${winner.revision}.`;
      throw new RouterError(ErrorKind.SettingsConflict, RunState.NotRun, detail);
    }
    case "invalid": {
      const issues = describeIssues(outcome.issues);
      throw new RouterError(ErrorKind.SettingsInvalid, RunState.NotRun, issues);
    }
    case "unknown":
      throw new RouterError(ErrorKind.StoreUnavailable, RunState.Unknown);
    case "unavailable":
      throw new RouterError(ErrorKind.StoreUnavailable, RunState.NotRun);
  }
}

async function sendHistory(
  options: ControlOptions,
  router: Router,
  response: http.ServerResponse,
): Promise<void> {
  const revision = router.settings.state.revision;
  const changes = await options.store.readLatestChanges(revision, maximumHistoryChanges);
  if (changes === undefined) throw new RouterError(ErrorKind.StoreUnavailable, RunState.NotRun);
  sendJson(response, 200, { changes });
}

/// The status of this entry VM and the settings revision in force at every entry VM of the
/// start-up file. `age` and `revision` are `null` for an entry VM without known status.
function buildStatus(router: Router, options: ControlOptions): object {
  const knownEntryVms = new Map(
    router.membership.entryVms().map((entryVm) => [entryVm.name, entryVm]),
  );
  const names = [options.file.instance, ...options.file.peers.map(({ name }) => name)];
  return {
    instance: options.file.instance,
    dataCentre: options.file.dataCentre,
    revision: router.settings.state.revision,
    confirmedAge: router.settings.confirmedAge ?? null,
    stopping: router.isStopping(),
    inProgress: router.gate.inProgress,
    unrecordedVerdicts: router.claims.unrecordedVerdictCount,
    entryVms: names.map((name) => {
      const entryVm = knownEntryVms.get(name);
      return { name, revision: entryVm?.revision ?? null, age: entryVm?.age ?? null };
    }),
  };
}

async function sendBurnReport(
  router: Router,
  options: ControlOptions,
  response: http.ServerResponse,
): Promise<void> {
  const counts = new BurnCounts();
  counts.merge(router.burn.snapshot());
  const missing: string[] = [];
  for (const peer of options.peers) {
    const snapshot = await peer.fetchBurnCounts();
    if (snapshot === undefined) missing.push(peer.address.name);
    else counts.merge(snapshot);
  }
  const objectives = [...router.settings.view.objectives];
  const shares = new Map(objectives.map(([name, { share }]) => [name, share]));
  const report = buildBurnReport(counts.snapshot(), shares, router.clock.wallClockTime());
  sendJson(response, 200, { report, missing });
}

async function readJson<T>(schema: z.ZodType<T>, request: http.IncomingMessage): Promise<T> {
  const rawBody = await readBody(request, maximumBodyBytes);
  if (rawBody.isErr) throw rawBody.error;
  const parsed = parseJson(schema, rawBody.value.toString("utf8"));
  if (parsed.isOk) return parsed.value;
  const detail = describeIssues(parsed.error);
  throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, detail);
}
