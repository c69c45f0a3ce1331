//! The server that callers reach: finds the route and the workspace of a request, reads
//! it whole, and has it answered.
import {
  answerPlainly,
  answerWithEvents,
  type AttemptServices,
  type RoutedRequest,
} from "@lovagebend/attempts";
import { RouteKind, type ForwardRoute, type RouteTable } from "@lovagebend/catalog";
import {
  answerFor,
  ErrorKind,
  readBody,
  RouterError,
  RunState,
  type Milliseconds,
} from "@lovagebend/common";
import http from "node:http";
import { HttpCallerAnswer } from "./caller-answer.js";
import type { EntryMetrics } from "./metrics.js";
import type { Knowledge } from "./knowledge.js";

export interface FrontServices extends AttemptServices {
  readonly knowledge: Knowledge;
  readonly metrics: EntryMetrics;
  readonly isStopping: () => boolean;
  /// Whether a request that comes now could no longer be answered before the end.
  readonly refusesNew: () => boolean;
}

// Applies until the operator's limits are known, and to the size of headers throughout.
const largestHeaderBytes = 32 * 1024;
// For a whole request to come in; the longest time that callers wait for an answer.
const longestRequestTime: Milliseconds = 20_000;
const unknownSettingsRetrySeconds = 0.5;
// Another entry VM takes the request on the caller's next connection.
const stoppingRetrySeconds = 0.05;
const longestIdentifier = 200;

/// Counts the requests in progress, for a stop that waits for them.
export class FrontServer {
  readonly server: http.Server;
  private readonly open = new Set<http.ServerResponse>();

  constructor(private readonly services: FrontServices) {
    this.server = http.createServer(
      { maxHeaderSize: largestHeaderBytes, noDelay: true, requestTimeout: longestRequestTime },
      (request, response) => {
        void this.handle(request, response);
      },
    );
  }

  get inProgress(): number {
    return this.open.size;
  }

  /// Applies the operator's limits to connections from now on.
  limit(table: RouteTable): void {
    this.server.keepAliveTimeout = table.limits.idleTimeout;
    this.server.headersTimeout = table.limits.headerTimeout;
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { clock, isStopping, logger, metrics } = this.services;
    const begin = clock.monotonic();
    const gone = new AbortController();
    this.open.add(response);
    response.on("error", () => undefined);
    response.on("close", () => {
      this.open.delete(response);
      if (!response.writableFinished) gone.abort();
    });
    const answer = new HttpCallerAnswer(response, () => clock.monotonic(), isStopping);
    let routed: RoutedRequest | undefined;
    try {
      routed = await this.route(request, begin, gone.signal);
      await this.answer(routed, answer);
    } catch (error) {
      const known = error instanceof RouterError ? error : unexpected(error);
      if (known.kind === ErrorKind.Internal)
        logger.error("request failed", { detail: String(error) });
      this.refuse(request, response, known, routed?.route);
    }
    if (answer.firstByteAt !== undefined && routed !== undefined)
      metrics.answered(routed.route.kind, answer.status, (answer.firstByteAt - begin) / 1_000);
    if (answer.isBrokenOff) metrics.broke();
  }

  private async route(
    request: http.IncomingMessage,
    begin: Milliseconds,
    signal: AbortSignal,
  ): Promise<RoutedRequest> {
    const { knowledge, names } = this.services;
    if (this.services.refusesNew())
      throw new RouterError(ErrorKind.Stopping, RunState.NotRun, "", stoppingRetrySeconds);
    const early = knowledge.routes;
    if (early === undefined) {
      const kind = ErrorKind.SettingsUnknown;
      throw new RouterError(kind, RunState.NotRun, "", unknownSettingsRetrySeconds);
    }
    const body = await readBody(request, early.limits.bodyBytes);
    if (body.isErr) throw body.error;
    // Settings may have changed while the body was on its way.
    const table = knowledge.routes ?? early;
    const path = request.url ?? "/";
    const route = table.match(request.headers.host ?? "", path);
    if (route === undefined) throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
    const workspace = workspaceOf(request, route, table, names.key);
    const id = request.headers[names.request];
    if (typeof id !== "string" || id === "" || id.length > longestIdentifier) {
      const detail = `Header ${names.request} must name the request.`;
      throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, detail);
    }
    const serviceName = drawService(route);
    const service = table.services.get(serviceName);
    if (service === undefined) {
      const detail = `Service ${serviceName} is not declared.`;
      throw new RouterError(ErrorKind.NoPath, RunState.NotRun, detail);
    }
    const asked = Number(request.headers[names.deadline] ?? Infinity);
    const allowed = Math.min(asked > 0 ? asked : Infinity, route.timeout);
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
      deadline: begin + allowed,
      ...tokensOf(request, names.tokens),
      signal,
    };
  }

  private answer(routed: RoutedRequest, answer: HttpCallerAnswer): Promise<void> {
    switch (routed.route.kind) {
      case RouteKind.Streaming:
        return answerWithEvents(routed, answer, this.services);
      case RouteKind.Idempotent:
      case RouteKind.NonIdempotent:
        return answerPlainly(routed, answer, this.services);
    }
  }

  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    error: RouterError,
    route: ForwardRoute | undefined,
  ): void {
    const { logger, metrics, knowledge, names } = this.services;
    const { status } = answerFor(error.kind);
    metrics.refused(error.kind, error.run);
    logger.warn("refused", {
      request: request.headers[names.request],
      kind: error.kind,
      run: error.run,
      status,
      detail: error.detail,
      route: route?.name,
      settings: knowledge.routes?.version,
    });
    if (error.kind === ErrorKind.CallerGone || response.headersSent) {
      response.destroy();
      return;
    }
    const headers: http.OutgoingHttpHeaders = { "content-type": "application/json" };
    if (error.retryAfterSeconds !== undefined)
      headers["retry-after"] = String(error.retryAfterSeconds);
    if (!request.complete || this.services.isStopping()) headers.connection = "close";
    const body = JSON.stringify({
      error: { kind: error.kind, run: error.run, message: error.message },
    });
    response.writeHead(status, { ...headers, "content-length": Buffer.byteLength(body) }).end(body);
  }
}

function workspaceOf(
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

function drawService(route: ForwardRoute): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let drawn = Math.random() * total;
  for (const { service, weight } of route.services) {
    drawn -= weight;
    if (drawn < 0) return service;
  }
  return route.services[0]?.service ?? "";
}

// The prompt and, at most, the answer: the memory that the request takes at engines.
function tokensOf(
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

function unexpected(error: unknown): RouterError {
  return new RouterError(ErrorKind.Internal, RunState.Unknown, String(error));
}
