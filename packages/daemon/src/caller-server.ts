//! The HTTP server for callers and for the health checks of the load balancer.
import { getErrorResponse, ErrorKind, RouterError, RunState } from "@lovagebend/common";
import type http from "node:http";
import { handleChatCompletion } from "./chat-completion.js";
import { digestBearerToken, sendError, sendJson } from "./http-server.js";
import type { CallerRequest, Router } from "./router.js";
import { handleServiceCall } from "./service-call.js";

const servicesPrefix = "/v1/services/";

/// Handles one request of a caller. Never throws.
export async function handleCallerRequest(
  router: Router,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  router.turns.add(response);
  const id = router.createId();
  const url = parseUrl(request);
  if (url?.pathname === "/healthz") {
    sendJson(response, 200, { live: true });
    return;
  }
  if (url?.pathname === "/readyz") {
    sendReadiness(router, response);
    return;
  }
  if (!router.gate.tryEnter()) {
    sendError(response, new RouterError(ErrorKind.Stopping, RunState.NotRun, "", 1), id);
    return;
  }
  const startedAt = router.clock.monotonicTime();
  let outcome = "ok";
  try {
    await dispatchRequest(router, id, url, request, response);
  } catch (error) {
    const reportedError =
      error instanceof RouterError ? error : createInternalError(router, id, error);
    outcome = reportedError.kind;
    sendErrorIfOpen(response, reportedError, id);
  } finally {
    const milliseconds = router.clock.monotonicTime() - startedAt;
    router.gate.leave();
    router.metrics.timing("request.duration", milliseconds, { outcome });
    router.logger.info("request completed", {
      request: id,
      path: url?.pathname,
      outcome,
      milliseconds,
    });
  }
}

async function dispatchRequest(
  router: Router,
  id: string,
  url: URL | undefined,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  if (url === undefined) throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun);
  const caller = authenticate(router, id, request);
  if (url.pathname === "/v1/chat/completions" && request.method === "POST") {
    await handleChatCompletion(router, caller, request, response);
    return;
  }
  if (url.pathname.startsWith(servicesPrefix)) {
    await handleServiceCall(router, caller, url, request, response);
    return;
  }
  throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
}

function authenticate(router: Router, id: string, request: http.IncomingMessage): CallerRequest {
  const view = router.settings.view;
  const workspace = view.workspaceByTokenDigest.get(digestBearerToken(request) ?? "");
  const settings = view.workspaces.get(workspace ?? "");
  if (workspace === undefined || settings === undefined) {
    throw new RouterError(ErrorKind.Unauthenticated, RunState.NotRun);
  }
  return { id, workspace, routes: settings.routes };
}

function sendReadiness(router: Router, response: http.ServerResponse): void {
  const isStopping = router.isStopping();
  const hasSettings = router.settings.view.revision > 0;
  sendJson(response, hasSettings && !isStopping ? 200 : 503, {
    ready: hasSettings && !isStopping,
    stopping: isStopping,
  });
}

// Nothing is sent to a caller that has disconnected, or whose stream has already ended with
// an error event.
function sendErrorIfOpen(response: http.ServerResponse, error: RouterError, id: string): void {
  if (response.destroyed || response.writableEnded) return;
  sendError(response, error, id);
}

function createInternalError(router: Router, id: string, error: unknown): RouterError {
  const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
  router.logger.error("request failed", { request: id, detail });
  return new RouterError(
    ErrorKind.Internal,
    RunState.Unknown,
    getErrorResponse(ErrorKind.Internal).text,
  );
}

function parseUrl(request: http.IncomingMessage): URL | undefined {
  try {
    return new URL(request.url ?? "/", "http://callers");
  } catch {
    return undefined;
  }
}
