//! Types and utilities that the other packages share: the closed list of errors,
//! clocks, validation, resource clean-up, an HTTP client and logging.
export { ErrorKind, RouterError, RunState, RetryAdvice, getErrorResponse } from "./error-kind.js";
export type { ErrorResponse } from "./error-kind.js";
export { systemClock } from "./clock.js";
export type { Clock, Milliseconds } from "./clock.js";
export { LifecycleManager } from "./lifecycle-manager.js";
export { parseJsonText, writeJsonText } from "./json-text.js";
export { parseJson, validate, describeIssues } from "./validation.js";
export type { ValidationIssue } from "./validation.js";
export {
  encodeJsonRequest,
  exchange,
  exchangeJson,
  exchangeJsonWithRetry,
  parseJsonResponse,
} from "./http-exchange.js";
export type {
  ExchangeFailure,
  ExchangeRequest,
  ExchangeResponse,
  JsonRequest,
  JsonResponse,
} from "./http-exchange.js";
export { withAnySignal } from "./with-any-signal.js";
export { guardCallback, runDetached } from "./detached.js";
export { parseIpAddress } from "./ip-address.js";
export { alignColumns } from "./columns.js";
export { createLogger } from "./logger.js";
export type { Logger, LogSink } from "./logger.js";
export { rankByRendezvousHash } from "./rendezvous.js";
export { findDelimitation, frameReceived } from "./answer-framing.js";
export type { Delimitation, Framing } from "./answer-framing.js";
export { writeFramedHead } from "./framed-head.js";
export { limitPipelining } from "./pipelining.js";
export { RequestTurns } from "./request-turns.js";
export { onUnreportedReset } from "./unreported-reset.js";
export { findHttpViolation, HttpViolation } from "./http-violation.js";
export { limitBytesBeforeAnswer } from "./bytes-before-answer.js";
export { createNoRoomError, readBody, receiveBody } from "./read-body.js";
export type { BodyMemory } from "./received-body.js";
export { MessageBody } from "./message-body.js";
