//! Resolves the route, the workspace and the service of a request that has been read.
import type { RoutedRequest } from "@lovagebend/attempts";
import { toEnginePriority, type ForwardRoute, type RouteTable } from "@lovagebend/catalog";
import { ErrorKind, RouterError, RunState, type MessageBody } from "@lovagebend/common";
import type { HeaderNames } from "@lovagebend/forwarding";
import type http from "node:http";
import type { OpenRequest } from "./open-requests.js";

const maximumIdentifierLength = 200;
const maximumPartIdentifierLength = 64;
const maximumSharedParts = 32;
const tokenCountPattern = /^\s*\d{1,9}\s*$/;

/// Applies `table` to a request with the whole `body`, and records the name of its route in `open`.
/// Throws a `RouterError` if `table` does not allow the request or it is not well formed.
export function routeRequest(
  request: http.IncomingMessage,
  body: MessageBody,
  open: OpenRequest,
  table: RouteTable,
  headerNames: HeaderNames,
): RoutedRequest {
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
  const priority = workspace?.priority ?? route.priority;
  const isOrderedByEngines = service.model !== undefined && table.hasEnginePriorities;
  return {
    id,
    method: request.method ?? "GET",
    path,
    rawHeaders: request.rawHeaders,
    body,
    route,
    service,
    workspace: workspace?.name,
    priority,
    enginePriority: isOrderedByEngines ? toEnginePriority(priority) : undefined,
    deadline: open.receivedAt + effectiveTimeout,
    ...parseTokenCounts(request, headerNames.tokenCounts),
    sharedPromptParts: parseSharedPromptParts(request, headerNames.promptParts),
    signal: open.signal,
    progress: open.progress,
  };
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
// memory that the request takes at engines. Counts that no prompt has are taken for none.
function parseTokenCounts(
  request: http.IncomingMessage,
  header: string,
): Pick<RoutedRequest, "tokens" | "promptTokens"> {
  const declared = request.headers[header];
  const counts = typeof declared === "string" ? declared.split(",") : [];
  if (!counts.every((count) => tokenCountPattern.test(count)))
    return { tokens: 0, promptTokens: 0 };
  const [prompt = 0, answer = 0] = counts.map(Number);
  return { tokens: prompt + answer, promptTokens: prompt };
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
