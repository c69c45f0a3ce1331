//! The server that callers and the balancer talk to.
import { answerFor, ErrorKind, RouterError, RunState } from "@lovagebend/common";
import type http from "node:http";
import { chatCompletion } from "./chat-completion.js";
import { bearerDigest, sendError, sendJson } from "./http-reply.js";
import type { CallerRequest, Router } from "./router.js";
import { serviceCall } from "./service-call.js";

const servicesPrefix = "/v1/services/";

/// Answers one request of a caller. Never throws.
export async function answerCaller(
  router: Router,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
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
  if (!router.gate.enter()) {
    sendError(response, new RouterError(ErrorKind.Stopping, RunState.NotRun, "", 1), id);
    return;
  }
  const begin = router.clock.monotonic();
  let outcome = "ok";
  try {
    await route(router, id, url, request, response);
  } catch (error) {
    const told = error instanceof RouterError ? error : internal(router, id, error);
    outcome = told.kind;
    sendRefusal(response, told, id);
  } finally {
    const milliseconds = router.clock.monotonic() - begin;
    router.gate.leave();
    router.metrics.timing("request.duration", milliseconds, { outcome });
    router.logger.info("request", { request: id, path: url?.pathname, outcome, milliseconds });
  }
}

async function route(
  router: Router,
  id: string,
  url: URL | undefined,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  if (url === undefined) throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun);
  const caller = authenticate(router, id, request);
  if (url.pathname === "/v1/chat/completions" && request.method === "POST") {
    await chatCompletion(router, caller, request, response);
    return;
  }
  if (url.pathname.startsWith(servicesPrefix)) {
    await serviceCall(router, caller, url, request, response);
    return;
  }
  throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
}

function authenticate(router: Router, id: string, request: http.IncomingMessage): CallerRequest {
  const view = router.settings.view;
  const workspace = view.workspaceByToken.get(bearerDigest(request) ?? "");
  const settings = view.workspaces.get(workspace ?? "");
  if (workspace === undefined || settings === undefined) {
    throw new RouterError(ErrorKind.Unauthenticated, RunState.NotRun);
  }
  return { id, workspace, routes: settings.routes };
}

function sendReadiness(router: Router, response: http.ServerResponse): void {
  const stopping = router.isStopping();
  const settings = router.settings.view.revision > 0;
  sendJson(response, settings && !stopping ? 200 : 503, { ready: settings && !stopping, stopping });
}

// A caller that has gone hears nothing; one in the middle of a stream has been told.
function sendRefusal(response: http.ServerResponse, error: RouterError, id: string): void {
  if (response.destroyed || response.writableEnded) return;
  sendError(response, error, id);
}

function internal(router: Router, id: string, error: unknown): RouterError {
  const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
  router.logger.error("request failed", { request: id, detail });
  return new RouterError(ErrorKind.Internal, RunState.Unknown, answerFor(ErrorKind.Internal).text);
}

function parseUrl(request: http.IncomingMessage): URL | undefined {
  try {
    return new URL(request.url ?? "/", "http://callers");
  } catch {
    return undefined;
  }
}
