//! Types and small services that every other package relies on: the closed
//! list of errors, clocks, validation, the life-cycle manager, HTTP and logs.
export { ErrorKind, RouterError, RunState, RetryAdvice, answerFor } from "./error-kind.js";
export type { ErrorAnswer } from "./error-kind.js";
export { systemClock } from "./clock.js";
export type { Clock, Milliseconds } from "./clock.js";
export { LifecycleManager } from "./lifecycle-manager.js";
export { parseJson, validate, describeIssues } from "./validation.js";
export type { ValidationIssue } from "./validation.js";
export { exchange, exchangeJson, exchangeJsonRepeatable } from "./http-exchange.js";
export type {
  ExchangeFailure,
  ExchangeRequest,
  ExchangeResponse,
  JsonRequest,
  JsonResponse,
} from "./http-exchange.js";
export { alignColumns } from "./columns.js";
export { createLogger } from "./logger.js";
export type { Logger, LogSink } from "./logger.js";
export { rendezvousOrder } from "./rendezvous.js";
export { readBody } from "./read-body.js";
