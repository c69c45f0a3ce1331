//! The form in which entry VMs relay requests of callers to each other: the caller's own request, with
//! the time that is left, on the address for peers. A refusal by the peer itself is marked, since its
//! status alone could be the answer of a target.
import { ErrorKind, parseJson, RouterError, RunState, type Milliseconds } from "@lovagebend/common";
import {
  relayMarks,
  relayedHeaders,
  type ForwardedRequest,
  type HeaderNames,
} from "@lovagebend/forwarding";
import type { RoutedRequest } from "@lovagebend/attempts";
import type http from "node:http";
import * as z from "zod";

const refusalSchema = z.object({
  error: z.object({ kind: z.enum(ErrorKind), run: z.enum(RunState) }),
});

/// Whether `request`, which arrived on the address for peers, is one of a caller.
export function isRelayed({ headers }: http.IncomingMessage): boolean {
  return headers[relayMarks.request] !== undefined;
}

/// The headers of `request` as it is relayed with `timeLeft`.
export function createRelayHeaders(
  request: Pick<RoutedRequest, keyof ForwardedRequest | "progress">,
  timeLeft: Milliseconds,
  headerNames: HeaderNames,
): http.OutgoingHttpHeaders {
  const { runs } = request.progress;
  return {
    ...relayedHeaders(request, timeLeft, headerNames),
    [relayMarks.request]: "1",
    ...(runs === 0 ? {} : { [relayMarks.runs]: String(runs) }),
  };
}

/// `request` as it arrived in `message` from a peer, with the attempts that are left of those that its route
/// allows.
export function limitAttempts(
  request: RoutedRequest,
  { headers }: Pick<http.IncomingMessage, "headers">,
): RoutedRequest {
  const runs = Number(headers[relayMarks.runs] ?? 0);
  if (!(runs > 0)) return request;
  const maximumAttempts = Math.max(1, request.route.maximumAttempts - runs);
  return { ...request, route: { ...request.route, maximumAttempts } };
}

/// The headers that mark the refusal of the request `id` as one of this entry VM.
export function createRefusalMarks(
  { kind, run }: RouterError,
  id: string | undefined,
  headerNames: HeaderNames,
): http.OutgoingHttpHeaders {
  return {
    [relayMarks.refusal]: kind,
    ...(id === undefined ? {} : { [headerNames.requestId]: id }),
    ...(run === RunState.NotRun ? { [headerNames.notRun]: "1" } : {}),
  };
}

/// Whether `message` is the refusal of a peer, and not the answer of a target.
export function isRefusalOfPeer({ headers }: http.IncomingMessage): boolean {
  return headers[relayMarks.refusal] !== undefined;
}

/// Reads the refusal of a peer from its response. One that cannot be read proves nothing.
export function readRefusal({ headers }: http.IncomingMessage, body: Buffer): RouterError {
  const retryAfter = Number(headers["retry-after"]);
  return parseJson(refusalSchema, body.toString("utf8")).match({
    Ok: ({ error: { kind, run } }) =>
      new RouterError(kind, run, "Relayed.", retryAfter > 0 ? retryAfter : undefined),
    Err: () => new RouterError(ErrorKind.TargetFailed, RunState.Unknown, "unreadable refusal"),
  });
}
