//! A route by host and path, as an operator writes it.
import type { Milliseconds } from "@lovagebend/common";

/// What may be repeated. `Idempotent` requests may run more than once,
/// `NonIdempotent` ones at most once; `Streaming` answers are event streams, which may
/// be repeated only where the route says that they resume.
export enum RouteKind {
  Idempotent = "idempotent",
  NonIdempotent = "nonIdempotent",
  Streaming = "streaming",
}

/// A service with its share of a route's requests.
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/// `pathPrefix` begins and ends with a slash. `timeout` bounds the whole answer;
/// `objective` is the time to an answer, or to the first event of a stream, that
/// counts as prompt. `largestAttempts` bounds the targets that one request is sent to.
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeout: Milliseconds;
  readonly objective: Milliseconds;
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  readonly largestAttempts: number;
  readonly isPublic: boolean;
  readonly resumable: boolean;
  /// The longest pause between events that counts as prompt.
  readonly pauseObjective: Milliseconds;
}

/// Whether a request on this route may run more than once.
export function mayRepeat(route: ForwardRoute): boolean {
  switch (route.kind) {
    case RouteKind.Idempotent:
      return true;
    case RouteKind.NonIdempotent:
      return false;
    case RouteKind.Streaming:
      return route.resumable;
  }
}
