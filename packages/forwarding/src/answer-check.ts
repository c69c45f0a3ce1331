//! Checks whether the head of an HTTP message is the answer of a target to a certain request. A faulty
//! target may send the answer to another request, or bytes that only have the form of an answer.
import { findHttpViolation, type HttpViolation } from "@lovagebend/common";
import type http from "node:http";
import type { HeaderNames } from "./header-names.js";

/// Why a sound head is not taken for the answer to a request.
export enum AnswerFault {
  OtherRequest = "the answer belongs to another request",
  NoRequest = "the answer names no request",
  NoReceipt = "the success has no receipt of its target",
  UnstatedRefusal = "the status promises that nothing ran, and the target does not state it",
  ContentCoding = "the success has a content coding that the caller did not ask for",
}

/// The request to which an answer is expected.
export interface AwaitedRequest {
  readonly id: string;
  readonly headers: http.OutgoingHttpHeaders;
  /// Whether the request may run more than once.
  readonly isRetryable: boolean;
}

const misdirectedStatus = 421;
// After these, callers repeat even a request that must not run twice. 421 is missing, since with that
// status itself the target states that it did not run the request.
const promisingStatuses: ReadonlySet<number> = new Set([408, 429, 503]);

/// Returns what keeps `message` from being the answer to `request`, or `undefined` if it is that answer.
/// `isKeptConnection` states whether an earlier request was sent on its connection.
export function findAnswerFault(
  message: http.IncomingMessage,
  request: AwaitedRequest,
  isKeptConnection: boolean,
  headerNames: HeaderNames,
): AnswerFault | HttpViolation | undefined {
  const { headers, statusCode = 0 } = message;
  const echoedId = headers[headerNames.requestId];
  if (echoedId !== undefined && echoedId !== request.id) return AnswerFault.OtherRequest;
  // On a kept connection it may be the refusal of an earlier request, sent once more.
  const isRefusal = headers[headerNames.notRun] !== undefined;
  if (echoedId === undefined && (isKeptConnection || !isRefusal)) return AnswerFault.NoRequest;
  const violation = findHttpViolation(message, request.headers);
  if (violation !== undefined || isRefusal) return violation;
  if (promisingStatuses.has(statusCode) && !request.isRetryable) return AnswerFault.UnstatedRefusal;
  if (!isSuccess(statusCode)) return undefined;
  if ((headers[headerNames.receipt] ?? "") === "") return AnswerFault.NoReceipt;
  return hasUnwantedCoding(message, request) ? AnswerFault.ContentCoding : undefined;
}

/// Whether the target states that it did not run the request.
export function statesNotRun(message: http.IncomingMessage, headerNames: HeaderNames): boolean {
  return (
    message.headers[headerNames.notRun] !== undefined || message.statusCode === misdirectedStatus
  );
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

function hasUnwantedCoding({ headers }: http.IncomingMessage, request: AwaitedRequest): boolean {
  const accepted = listNames(request.headers["accept-encoding"]);
  return listNames(headers["content-encoding"]).some(
    (coding) => coding !== "identity" && !accepted.includes(coding) && !accepted.includes("*"),
  );
}

// The names of a list, without their parameters, in lower case.
function listNames(field: http.OutgoingHttpHeader | undefined): string[] {
  return String(field ?? "")
    .split(",")
    .map((element) => element.split(";", 1)[0]?.trim().toLowerCase() ?? "")
    .filter((name) => name !== "");
}
