//! The HTTP server for callers. It buffers the whole request, passes it on to be answered by a
//! target, and answers requests that it refuses with an error.
import {
  createEndError,
  isEndedByStop,
  RequestEnd,
  stoppingRetrySeconds,
  type RoutedRequest,
} from "@lovagebend/attempts";
import type { RouteTable } from "@lovagebend/catalog";
import {
  getErrorResponse,
  ErrorKind,
  limitPipelining,
  RouterError,
  RunState,
  type Milliseconds,
} from "@lovagebend/common";
import http from "node:http";
import type { Socket } from "node:net";
import { acceptByProcessor, type ProcessorServices } from "./accept-by-processor.js";
import { answerRequest, type AnswerServices } from "./answer-request.js";
import { CallerGuard } from "./caller-guard.js";
import type { CallerLimits } from "./caller-limits.js";
import { HttpCallerAnswer } from "./caller-answer.js";
import { hasCallerLeft } from "./caller-presence.js";
import type { GracefulStop } from "./graceful-stop.js";
import { maximumHeadBytes } from "./head-size.js";
import type { EntryMetrics } from "./metrics.js";
import { OpenRequest, OpenRequests, RequestSource, type ConnectionEnd } from "./open-requests.js";
import { createRefusalMarks, limitAttempts } from "./relayed-request.js";
import type { ReplicatedState } from "./replicated-state.js";
import { routeRequest } from "./route-request.js";
import { endAfterBody } from "./unread-body.js";
import { refuseUnreadable } from "./unreadable-requests.js";

export interface CallerServerServices extends AnswerServices, ProcessorServices {
  readonly replicatedState: ReplicatedState;
  readonly metrics: EntryMetrics;
  readonly gracefulStop: GracefulStop;
}

// The time for a whole request to arrive. Equals the longest time that callers wait for an
// answer.
const requestReadTimeout: Milliseconds = 20_000;
// For a request that is on its way when the announced time ends.
const idleTimeoutMargin: Milliseconds = 1_000;
const unknownSettingsRetrySeconds = 0.5;

/// Serves callers and counts the requests in progress, for which a graceful shutdown waits.
export class CallerServer {
  readonly server: http.Server;
  private readonly openRequests = new OpenRequests((request, end) => {
    this.recordUnanswered(request, end);
  });
  private readonly guard: CallerGuard;
  private endedByStop = 0;

  constructor(
    private readonly services: CallerServerServices,
    limits: CallerLimits,
  ) {
    const { metrics, clock, logger } = services;
    this.guard = new CallerGuard(limits, this.openRequests, metrics, clock, logger);
    this.server = http.createServer(
      { maxHeaderSize: maximumHeadBytes, noDelay: true, requestTimeout: requestReadTimeout },
      (request, response) => {
        if (!request.socket.destroyed)
          void this.handleRequest(request, response, RequestSource.Caller);
      },
    );
    refuseUnreadable(this.server, this.openRequests, services.logger);
    limitPipelining(this.server, services.logger);
    this.server.on("connection", (socket) => {
      this.guard.connections.add(socket);
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
    return this.guard.connections.closeIdle();
  }

  /// Ends the requests in progress: each gets an error as its answer, or, if its answer has begun,
  /// an incomplete one. Complete answers that are being sent are not affected.
  endRequests(): void {
    for (const open of this.openRequests.list())
      if (!open.response.writableEnded) open.end(RequestEnd.VmStopping);
  }

  /// Updates what is known of callers' bytes. To be called in regular intervals.
  sweep(): void {
    this.guard.sweep();
  }

  /// Applies the operator's time limits. A connection that may stay idle for longer, because an
  /// answer on it said so, keeps that time until its next request.
  applyLimits(table: RouteTable): void {
    this.server.keepAliveTimeout = table.limits.idleTimeout;
    this.server.headersTimeout = table.limits.headerTimeout;
  }

  /// Handles a request of a caller, also one that a peer has relayed.
  async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    source: RequestSource,
  ): Promise<void> {
    const { clock, logger, metrics } = this.services;
    const receivedAt = clock.monotonicTime();
    const id = request.headers[this.services.headerNames.requestId]?.toString();
    const open = new OpenRequest(id, response, receivedAt, source);
    const comesTooLate = this.openRequests.isLastAnnounced(request.socket);
    this.openRequests.add(open, request.socket);
    this.guard.connections.beginRequest(request.socket);
    this.keepIdleTimeout(open, request.socket);
    response.on("error", () => undefined);
    response.on("close", () => {
      this.guard.connections.endRequest(request.socket);
    });
    const answer = new HttpCallerAnswer(
      response,
      () => clock.monotonicTime(),
      () => this.announcesLast(open, request.socket),
      (reason) => {
        open.endReason = reason;
      },
      (bytes) => this.guard.holdAnswer(open, bytes),
    );
    let routed: RoutedRequest | undefined;
    let refusal: RouterError | undefined;
    let release: ReturnType<typeof acceptByProcessor> | undefined;
    try {
      // Its answer could not be sent any more, so that no target may run it.
      if (comesTooLate) throw new RouterError(ErrorKind.Stopping, RunState.NotRun);
      const refused = this.guard.admit(open);
      if (refused !== undefined) throw refused;
      routed = await this.route(request, open);
      release = acceptByProcessor(routed, this.services);
      if (await hasCallerLeft(request))
        throw new RouterError(ErrorKind.CallerGone, RunState.NotRun);
      await answerRequest(routed, answer, source, this.services);
    } catch (error) {
      const routerError = error instanceof RouterError ? error : toInternalError(error);
      if (routerError.kind === ErrorKind.Internal)
        logger.error("request failed", { detail: String(error) });
      refusal = routerError;
      this.refuse(request, open, routerError);
    }
    release?.(clock.monotonicTime());
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

  // Whether the answer to `open` is to say that the connection closes behind it. In a stop, that is the
  // answer to the last request which has arrived on it.
  private announcesLast(open: OpenRequest, socket: Socket): boolean {
    if (!this.services.gracefulStop.isStopping || this.openRequests.listOn(socket).at(-1) !== open)
      return false;
    open.announcesLast = true;
    return true;
  }

  private async route(request: http.IncomingMessage, open: OpenRequest): Promise<RoutedRequest> {
    const { replicatedState, headerNames } = this.services;
    this.assertAccepting(open.receivedAt);
    const initialTable = replicatedState.routes;
    if (initialTable === undefined) {
      const kind = ErrorKind.SettingsUnknown;
      throw new RouterError(kind, RunState.NotRun, "", unknownSettingsRetrySeconds);
    }
    const body = await this.guard.receiveBody(request, open, initialTable.limits.maximumBodyBytes);
    open.progress.recordRead();
    // The settings may have changed while the body was being received, and may change again.
    const routeNow = (): RoutedRequest =>
      routeRequest(request, body, open, replicatedState.routes ?? initialTable, headerNames);
    this.assertAccepting(routeNow().deadline);
    await this.waitForTurn(open, request.socket);
    const routed = routeNow();
    if (this.services.clock.monotonicTime() >= routed.deadline)
      throw new RouterError(ErrorKind.DeadlineExceeded, RunState.NotRun);
    return open.source === RequestSource.Peer ? limitAttempts(routed, request) : routed;
  }

  // An answer may end its connection. No target may run a request behind it, whose answer could not be
  // sent any more.
  private async waitForTurn(open: OpenRequest, socket: Socket): Promise<void> {
    await this.openRequests.waitForTurn(open, socket);
    if (open.signal.aborted) throw createEndError(open.signal, false);
    if (!socket.destroyed && !socket.writableEnded) return;
    open.endReason = "the answer before it ended the connection";
    throw new RouterError(ErrorKind.ConnectionEnding, RunState.NotRun);
  }

  private assertAccepting(deadline: Milliseconds): void {
    if (this.services.gracefulStop.shouldRefuse(deadline))
      throw new RouterError(ErrorKind.Stopping, RunState.NotRun, "", stoppingRetrySeconds);
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
    const headers: http.OutgoingHttpHeaders = {
      "content-type": "application/json",
      ...(open.source === RequestSource.Peer
        ? createRefusalMarks(error, open.id, headerNames)
        : {}),
    };
    if (error.retryAfterSeconds !== undefined)
      headers["retry-after"] = String(error.retryAfterSeconds);
    if (!request.complete || this.announcesLast(open, request.socket)) headers.connection = "close";
    const body = JSON.stringify({
      error: { kind: error.kind, run: error.run, message: error.message },
    });
    response.writeHead(status, { ...headers, "content-length": Buffer.byteLength(body) });
    if (request.complete) {
      response.end(body);
      return;
    }
    response.write(body);
    this.openRequests.recordAnswered(open, request.socket);
    endAfterBody(request, response, this.guard.discards);
  }
}

function findProgress(
  routed: RoutedRequest | undefined,
  refusal: RouterError | undefined,
): "reading" | "not offered" | "offered" | "answering" {
  if (routed === undefined) return "reading";
  if (refusal === undefined) return "answering";
  return refusal.run === RunState.NotRun ? "not offered" : "offered";
}

function toInternalError(error: unknown): RouterError {
  return new RouterError(ErrorKind.Internal, RunState.Unknown, String(error));
}
