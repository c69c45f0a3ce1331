//! Builds the headers of forwarded requests and answers. Copies all headers except
//! hop-by-hop headers and those that the router sets itself.
import type { MessageBody } from "@lovagebend/common";
import type http from "node:http";
import type { HeaderNames } from "./header-names.js";

/// A caller's request with its complete body.
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: MessageBody;
}

/// The values of the headers that the router sets. Headers without a value are not sent.
export interface RouterHeaders {
  readonly deadline: number;
  readonly expectedTarget: string;
  readonly workspace?: string | undefined;
  readonly priority?: number | undefined;
  readonly path?: string | undefined;
  readonly lastEventId?: string | undefined;
}

/// The headers that mark requests which an entry VM relays to another one, and the refusals of those.
/// Neither callers nor targets get them.
export const relayMarks = {
  request: "lovagebend-relayed",
  runs: "lovagebend-runs",
  refusal: "lovagebend-refusal",
} as const;

const hopByHopHeaders: ReadonlySet<string> = new Set([
  ...Object.values(relayMarks),
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

type HeaderMap = Record<string, string | string[]>;

/// The headers of `request` as it is sent to a target. If the caller sent a header that the
/// router sets, the caller's value is dropped.
export function requestHeaders(
  request: ForwardedRequest,
  routerHeaders: RouterHeaders,
  headerNames: HeaderNames,
): http.OutgoingHttpHeaders {
  const replacedNames = new Set([
    headerNames.deadline,
    headerNames.apiKey,
    headerNames.workspace,
    headerNames.expectedTarget,
    headerNames.path,
    headerNames.priority,
    "content-length",
  ]);
  if (routerHeaders.lastEventId !== undefined) replacedNames.add(headerNames.lastEventId);
  const headers = copyEndToEndHeaders(request.rawHeaders, replacedNames);
  headers[headerNames.deadline] = formatDeadline(routerHeaders.deadline);
  headers[headerNames.expectedTarget] = routerHeaders.expectedTarget;
  if (routerHeaders.workspace !== undefined)
    headers[headerNames.workspace] = routerHeaders.workspace;
  if (routerHeaders.priority !== undefined)
    headers[headerNames.priority] = String(routerHeaders.priority);
  if (routerHeaders.path !== undefined) headers[headerNames.path] = routerHeaders.path;
  if (routerHeaders.lastEventId !== undefined)
    headers[headerNames.lastEventId] = routerHeaders.lastEventId;
  return { ...headers, ...contentLength(request) };
}

/// The headers of `request` as another entry VM gets it: those of the caller, with the time that is left.
export function relayedHeaders(
  request: ForwardedRequest,
  timeLeft: number,
  headerNames: HeaderNames,
): http.OutgoingHttpHeaders {
  const replacedNames = new Set([headerNames.deadline, "content-length"]);
  return {
    ...copyEndToEndHeaders(request.rawHeaders, replacedNames),
    [headerNames.deadline]: formatDeadline(timeLeft),
    ...contentLength(request),
  };
}

/// The headers of a target's answer that are forwarded to the caller, without
/// `content-length`.
export function responseHeaders(rawHeaders: readonly string[]): HeaderMap {
  return copyEndToEndHeaders(rawHeaders, new Set(["content-length"]));
}

function formatDeadline(timeLeft: number): string {
  return String(Math.max(1, Math.floor(timeLeft)));
}

function contentLength({ body, method }: ForwardedRequest): { "content-length"?: string } {
  const hasLength = body.length > 0 || !["GET", "HEAD"].includes(method);
  return hasLength ? { "content-length": String(body.length) } : {};
}

function copyEndToEndHeaders(
  rawHeaders: readonly string[],
  excludedNames: ReadonlySet<string>,
): HeaderMap {
  const connectionOptions = parseConnectionOptions(rawHeaders);
  const headers: HeaderMap = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toLowerCase() ?? "";
    const value = rawHeaders[index + 1] ?? "";
    if (hopByHopHeaders.has(name) || excludedNames.has(name) || connectionOptions.includes(name))
      continue;
    const existing = headers[name];
    if (existing === undefined) headers[name] = value;
    else headers[name] = Array.isArray(existing) ? [...existing, value] : [existing, value];
  }
  return headers;
}

// The `Connection` header can list further hop-by-hop headers.
function parseConnectionOptions(rawHeaders: readonly string[]): string[] {
  const index = rawHeaders.findIndex(
    (text, position) => position % 2 === 0 && text.toLowerCase() === "connection",
  );
  if (index === -1) return [];
  return (rawHeaders[index + 1] ?? "").split(",").map((name) => name.trim().toLowerCase());
}
