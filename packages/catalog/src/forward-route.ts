//! A route that matches requests by host and path, as the operator's document declares it.
import type { Milliseconds } from "@lovagebend/common";

/// Determines whether a request may be retried. `Idempotent` requests may run more than once,
/// `NonIdempotent` requests at most once. `Streaming` answers are event streams, whose
/// requests may be retried only if the route declares them as resumable.
export enum RouteKind {
  Idempotent = "idempotent",
  NonIdempotent = "nonIdempotent",
  Streaming = "streaming",
}

/// A service and the weight by which it receives a route's requests.
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/// `pathPrefix` begins and ends with a slash. `timeout` bounds the time of the whole answer.
/// `latencyObjective` is the maximum time to an answer, or to the first event of a stream, that
/// meets the objective. `maximumAttempts` bounds the number of targets to which one request is
/// sent.
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeout: Milliseconds;
  readonly latencyObjective: Milliseconds;
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  readonly maximumAttempts: number;
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  /// The maximum time between two events of a stream that meets the latency objective.
  readonly eventGapObjective: Milliseconds;
}

/// Whether a request on this route may run more than once.
export function isRetryable(route: ForwardRoute): boolean {
  switch (route.kind) {
    case RouteKind.Idempotent:
      return true;
    case RouteKind.NonIdempotent:
      return false;
    case RouteKind.Streaming:
      return route.isResumable;
  }
}
