//! The HTTP server for callers. It buffers the whole request, resolves its route, workspace
//! and service, passes it on to be answered by a target, and answers requests that it
//! refuses with an error.
import {
  answerBuffered,
  answerStreaming,
  createEndError,
  isEndedByStop,
  RequestEnd,
  stoppingRetrySeconds,
  type AttemptServices,
  type RoutedRequest,
} from "@lovagebend/attempts";
import { RouteKind, type ForwardRoute, type RouteTable } from "@lovagebend/catalog";
import {
  getErrorResponse,
  ErrorKind,
  readBody,
  RouterError,
  RunState,
  type Milliseconds,
} from "@lovagebend/common";
import http from "node:http";
import type { Socket } from "node:net";
import { HttpCallerAnswer } from "./caller-answer.js";
import { hasCallerLeft } from "./caller-presence.js";
import type { GracefulStop } from "./graceful-stop.js";
import { KeptConnections } from "./kept-connections.js";
import type { EntryMetrics } from "./metrics.js";
import { OpenRequest, OpenRequests, type ConnectionEnd } from "./open-requests.js";
import { limitPipelining } from "./pipelining.js";
import type { ReplicatedState } from "./replicated-state.js";

export interface CallerServerServices extends AttemptServices {
  readonly replicatedState: ReplicatedState;
  readonly metrics: EntryMetrics;
  readonly gracefulStop: GracefulStop;
}

// The limit on the size of headers. It is fixed when the server is created, so the operator's
// settings do not change it.
const maximumHeaderBytes = 32 * 1024;
// The time for a whole request to arrive. Equals the longest time that callers wait for an
// answer.
const requestReadTimeout: Milliseconds = 20_000;
// For a request that is on its way when the announced time ends.
const idleTimeoutMargin: Milliseconds = 1_000;
const unknownSettingsRetrySeconds = 0.5;
const maximumIdentifierLength = 200;
const maximumPartIdentifierLength = 64;
const maximumSharedParts = 32;

/// Serves callers and counts the requests in progress, for which a graceful shutdown waits.
export class CallerServer {
  readonly server: http.Server;
  private readonly openRequests = new OpenRequests((request, end) => {
    this.recordUnanswered(request, end);
  });
  private readonly keptConnections = new KeptConnections();
  private endedByStop = 0;

  constructor(private readonly services: CallerServerServices) {
    this.server = http.createServer(
      { maxHeaderSize: maximumHeaderBytes, noDelay: true, requestTimeout: requestReadTimeout },
      (request, response) => {
        if (!request.socket.destroyed) void this.handleRequest(request, response);
      },
    );
    limitPipelining(this.server, services.logger);
    this.server.on("connection", (socket) => {
      this.keptConnections.add(socket);
    });
  }

  get inProgress(): number {
    return this.openRequests.size;
  }

  /// The number of requests that a stop has ended before they were answered.
  get endedRequests(): number {
    return this.endedByStop;
  }

  /// Closes the connections that callers keep open without a request.
  closeIdleConnections(): Promise<void> {
    return this.keptConnections.closeIdle();
  }

  /// Ends the requests in progress: each gets an error as its answer, or, if its answer has begun,
  /// an incomplete one. Complete answers that are being sent are not affected.
  endRequests(): void {
    for (const open of this.openRequests.list())
      if (!open.response.writableEnded) open.end(RequestEnd.VmStopping);
  }

  /// Applies the operator's time limits. A connection that may stay idle for longer, because an
  /// answer on it said so, keeps that time until its next request.
  applyLimits(table: RouteTable): void {
    this.server.keepAliveTimeout = table.limits.idleTimeout;
    this.server.headersTimeout = table.limits.headerTimeout;
  }

  private async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { clock, gracefulStop, logger, metrics } = this.services;
    const receivedAt = clock.monotonicTime();
    const id = request.headers[this.services.headerNames.requestId]?.toString();
    const open = new OpenRequest(id, response, receivedAt);
    this.openRequests.add(open, request.socket);
    this.keptConnections.beginRequest(request.socket);
    this.keepIdleTimeout(open, request.socket);
    response.on("error", () => undefined);
    response.on("close", () => {
      this.keptConnections.endRequest(request.socket);
    });
    const answer = new HttpCallerAnswer(
      response,
      () => clock.monotonicTime(),
      () => gracefulStop.isStopping,
      (reason) => {
        open.endReason = reason;
      },
    );
    let routed: RoutedRequest | undefined;
    let refusal: RouterError | undefined;
    try {
      routed = await this.route(request, open);
      if (await hasCallerLeft(request))
        throw new RouterError(ErrorKind.CallerGone, RunState.NotRun);
      await this.answer(routed, answer);
    } catch (error) {
      const routerError = error instanceof RouterError ? error : toInternalError(error);
      if (routerError.kind === ErrorKind.Internal)
        logger.error("request failed", { detail: String(error) });
      refusal = routerError;
      this.refuse(request, open, routerError);
    }
    if (answer.firstByteAt !== undefined && routed !== undefined)
      metrics.recordAnswer(
        routed.route.kind,
        answer.status,
        (answer.firstByteAt - receivedAt) / 1_000,
      );
    if (answer.isAborted) metrics.recordAbortedStream();
    if (isEndedByStop(open.signal) && (refusal !== undefined || answer.isAborted))
      this.recordEndByStop(request, routed, refusal);
  }

  // Without a refusal, the answer had begun.
  private recordEndByStop(
    request: http.IncomingMessage,
    routed: RoutedRequest | undefined,
    refusal: RouterError | undefined,
  ): void {
    const { logger, headerNames } = this.services;
    this.endedByStop += 1;
    logger.warn("request ended by stop", {
      request: request.headers[headerNames.requestId],
      route: routed?.route.name,
      kind: routed?.route.kind,
      progress: findProgress(routed, refusal),
      status: refusal === undefined ? "incomplete" : getErrorResponse(refusal.kind).status,
    });
  }

  // Node tells the caller the timeout at the time of the request, and applies the one at the end of
  // the answer. Its listener for that event runs before this one.
  private keepIdleTimeout({ response }: OpenRequest, socket: Socket): void {
    const announcedTimeout = this.server.keepAliveTimeout;
    response.once("finish", () => {
      if (socket.writableEnded || this.openRequests.has(socket)) return;
      const timeout = Math.max(announcedTimeout, this.server.keepAliveTimeout);
      socket.setTimeout(timeout + idleTimeoutMargin);
    });
  }

  private recordUnanswered(request: OpenRequest, end: ConnectionEnd): void {
    const { clock, gracefulStop, logger, metrics } = this.services;
    const { id, route, progress, receivedAt, response } = request;
    metrics.recordUnansweredRequest(progress.stage.kind, end.kind);
    logger.warn("request unanswered", {
      request: id,
      route,
      stage: progress.stage.kind,
      target: progress.lastTarget,
      failure: progress.lastFailure,
      hasBegun: response.headersSent,
      hasEnded: response.writableEnded,
      age: Math.round(clock.monotonicTime() - receivedAt),
      closedBy: end.kind,
      ...("code" in end ? { code: end.code } : {}),
      ...("reason" in end ? { reason: end.reason } : {}),
      isStopping: gracefulStop.isStopping,
    });
  }

  private async route(request: http.IncomingMessage, open: OpenRequest): Promise<RoutedRequest> {
    const { replicatedState, headerNames } = this.services;
    this.assertAccepting(open.receivedAt);
    const initialTable = replicatedState.routes;
    if (initialTable === undefined) {
      const kind = ErrorKind.SettingsUnknown;
      throw new RouterError(kind, RunState.NotRun, "", unknownSettingsRetrySeconds);
    }
    const body = await Promise.race([
      readBody(request, initialTable.limits.maximumBodyBytes),
      rejectOnEnd(open.signal),
    ]);
    if (body.isErr) throw body.error;
    open.progress.recordRead();
    // The settings may have changed while the body was being received.
    const table = replicatedState.routes ?? initialTable;
    const path = request.url ?? "/";
    const route = table.match(request.headers.host ?? "", path);
    if (route === undefined) throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
    open.route = route.name;
    const workspace = findWorkspace(request, route, table, headerNames.apiKey);
    const id = request.headers[headerNames.requestId];
    if (typeof id !== "string" || id === "" || id.length > maximumIdentifierLength) {
      const detail = `Header ${headerNames.requestId} must contain a valid request identifier.`;
      throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, detail);
    }
    const serviceName = chooseServiceByWeight(route);
    const service = table.services.get(serviceName);
    if (service === undefined) {
      const detail = `Service ${serviceName} is not declared.`;
      throw new RouterError(ErrorKind.NoPath, RunState.NotRun, detail);
    }
    const requestedTimeout = Number(request.headers[headerNames.deadline] ?? Infinity);
    const effectiveTimeout = Math.min(
      requestedTimeout > 0 ? requestedTimeout : Infinity,
      route.timeout,
    );
    const deadline = open.receivedAt + effectiveTimeout;
    this.assertAccepting(deadline);
    return {
      id,
      method: request.method ?? "GET",
      path,
      rawHeaders: request.rawHeaders,
      body: body.value,
      route,
      service,
      workspace: workspace?.name,
      priority: workspace?.priority ?? route.priority,
      deadline,
      ...parseTokenCounts(request, headerNames.tokenCounts),
      sharedPromptParts: parseSharedPromptParts(request, headerNames.promptParts),
      signal: open.signal,
      progress: open.progress,
    };
  }

  private assertAccepting(deadline: Milliseconds): void {
    if (this.services.gracefulStop.shouldRefuse(deadline))
      throw new RouterError(ErrorKind.Stopping, RunState.NotRun, "", stoppingRetrySeconds);
  }

  private answer(routed: RoutedRequest, answer: HttpCallerAnswer): Promise<void> {
    switch (routed.route.kind) {
      case RouteKind.Streaming:
        return answerStreaming(routed, answer, this.services);
      case RouteKind.Idempotent:
      case RouteKind.NonIdempotent:
        return answerBuffered(routed, answer, this.services);
    }
  }

  private refuse(request: http.IncomingMessage, open: OpenRequest, error: RouterError): void {
    const { logger, metrics, replicatedState, headerNames } = this.services;
    const { response, route } = open;
    const { status } = getErrorResponse(error.kind);
    metrics.recordRefusal(error.kind, error.run);
    logger.warn("refused", {
      request: request.headers[headerNames.requestId],
      kind: error.kind,
      run: error.run,
      status,
      detail: error.detail,
      route,
      settings: replicatedState.routes?.version,
    });
    if (error.kind === ErrorKind.CallerGone || response.headersSent) {
      if (!request.socket.readableEnded) open.endReason = error.kind;
      response.destroy();
      return;
    }
    const headers: http.OutgoingHttpHeaders = { "content-type": "application/json" };
    if (error.retryAfterSeconds !== undefined)
      headers["retry-after"] = String(error.retryAfterSeconds);
    if (!request.complete || this.services.gracefulStop.isStopping) headers.connection = "close";
    const body = JSON.stringify({
      error: { kind: error.kind, run: error.run, message: error.message },
    });
    response.writeHead(status, { ...headers, "content-length": Buffer.byteLength(body) }).end(body);
  }
}

function findWorkspace(
  request: http.IncomingMessage,
  route: ForwardRoute,
  table: RouteTable,
  keyHeader: string,
) {
  const key = request.headers[keyHeader];
  const workspace = typeof key === "string" ? table.workspaceOf(key) : undefined;
  if (workspace === undefined && table.needsKey(route))
    throw new RouterError(ErrorKind.Unauthenticated, RunState.NotRun);
  return workspace;
}

function chooseServiceByWeight(route: ForwardRoute): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = Math.random() * total;
  for (const { service, weight } of route.services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return route.services[0]?.service ?? "";
}

// Parses the prompt's token count and the maximum of the answer's. Their sum stands for the
// memory that the request takes at engines.
function parseTokenCounts(
  request: http.IncomingMessage,
  header: string,
): Pick<RoutedRequest, "tokens" | "promptTokens"> {
  const declared = request.headers[header];
  const [prompt = 0, answer = 0] =
    typeof declared === "string" ? declared.split(",").map(Number) : [];
  return Number.isFinite(prompt + answer)
    ? { tokens: prompt + answer, promptTokens: prompt }
    : { tokens: 0, promptTokens: 0 };
}

// The last part of a prompt belongs to the request itself or to its session.
function parseSharedPromptParts(request: http.IncomingMessage, header: string): string[] {
  const declared = request.headers[header];
  if (typeof declared !== "string") return [];
  const identifiers = declared.split(",").map((part) => part.split(":")[0]?.trim() ?? "");
  const shared = identifiers
    .slice(0, -1)
    .filter((part) => part !== "" && part.length <= maximumPartIdentifierLength);
  return [...new Set(shared)].slice(0, maximumSharedParts);
}

function findProgress(
  routed: RoutedRequest | undefined,
  refusal: RouterError | undefined,
): "reading" | "not offered" | "offered" | "answering" {
  if (routed === undefined) return "reading";
  if (refusal === undefined) return "answering";
  return refusal.run === RunState.NotRun ? "not offered" : "offered";
}

function rejectOnEnd(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal.addEventListener("abort", () => {
      reject(createEndError(signal, false));
    });
  });
}

function toInternalError(error: unknown): RouterError {
  return new RouterError(ErrorKind.Internal, RunState.Unknown, String(error));
}
