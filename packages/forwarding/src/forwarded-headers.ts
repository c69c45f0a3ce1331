//! Which headers travel: all but those that concern one connection and those that the
//! router sets itself.
import type http from "node:http";
import type { HeaderNames } from "./header-names.js";

/// A caller's request, read whole.
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/// What the router tells the target. Absent values are not sent.
export interface SystemHeaders {
  readonly deadline: number;
  readonly expectedTarget: string;
  readonly workspace?: string | undefined;
  readonly priority?: number | undefined;
  readonly path?: string | undefined;
  readonly lastEvent?: string | undefined;
}

const connectionHeaders = new Set([
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

/// The headers with which `request` goes to a target. What a caller sent under a name
/// that the router sets is left out.
export function outgoingHeaders(
  request: ForwardedRequest,
  system: SystemHeaders,
  names: HeaderNames,
): http.OutgoingHttpHeaders {
  const own = new Set([
    names.deadline,
    names.key,
    names.workspace,
    names.expectedTarget,
    names.path,
    names.priority,
    "content-length",
  ]);
  if (system.lastEvent !== undefined) own.add(names.lastEvent);
  const headers = travelling(request.rawHeaders, own);
  headers[names.deadline] = String(Math.max(1, Math.floor(system.deadline)));
  headers[names.expectedTarget] = system.expectedTarget;
  if (system.workspace !== undefined) headers[names.workspace] = system.workspace;
  if (system.priority !== undefined) headers[names.priority] = String(system.priority);
  if (system.path !== undefined) headers[names.path] = system.path;
  if (system.lastEvent !== undefined) headers[names.lastEvent] = system.lastEvent;
  const declaresBody = request.body.length > 0 || !["GET", "HEAD"].includes(request.method);
  if (declaresBody) headers["content-length"] = String(request.body.length);
  return headers;
}

/// The headers of a target's answer that go to the caller, without its length.
export function answerHeaders(rawHeaders: readonly string[]): HeaderMap {
  return travelling(rawHeaders, new Set(["content-length"]));
}

function travelling(rawHeaders: readonly string[], without: ReadonlySet<string>): HeaderMap {
  const named = namedByConnection(rawHeaders);
  const headers: HeaderMap = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toLowerCase() ?? "";
    const value = rawHeaders[index + 1] ?? "";
    if (connectionHeaders.has(name) || without.has(name) || named.includes(name)) continue;
    const before = headers[name];
    if (before === undefined) headers[name] = value;
    else headers[name] = Array.isArray(before) ? [...before, value] : [before, value];
  }
  return headers;
}

// A `Connection` header may name further headers that end at this connection.
function namedByConnection(rawHeaders: readonly string[]): string[] {
  const index = rawHeaders.findIndex(
    (text, place) => place % 2 === 0 && text.toLowerCase() === "connection",
  );
  if (index === -1) return [];
  return (rawHeaders[index + 1] ?? "").split(",").map((name) => name.trim().toLowerCase());
}
