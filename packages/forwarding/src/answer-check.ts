//! Checks whether the head of an HTTP message is the answer of a target to a certain request. A faulty
//! target may send the answer to another request, or bytes that only have the form of an answer.
import type http from "node:http";
import type { HeaderNames } from "./header-names.js";

/// Why a head is not taken for the answer to a request.
export enum AnswerFault {
  OtherRequest = "the answer belongs to another request",
  NoRequest = "the answer names no request",
  NoReceipt = "the success has no receipt of its target",
}

const misdirectedStatus = 421;

/// Returns what keeps `message` from being the answer to the request `id`, or `undefined` if it is that
/// answer. `isKeptConnection` states whether an earlier request was sent on its connection.
export function findAnswerFault(
  message: http.IncomingMessage,
  id: string,
  isKeptConnection: boolean,
  headerNames: HeaderNames,
): AnswerFault | undefined {
  const { statusCode = 0, headers } = message;
  const echoedId = headers[headerNames.requestId];
  if (echoedId !== undefined && echoedId !== id) return AnswerFault.OtherRequest;
  // On a kept connection it may be the refusal of an earlier request, sent once more.
  const isRefusal = headers[headerNames.notRun] !== undefined;
  if (echoedId === undefined && (isKeptConnection || !isRefusal)) return AnswerFault.NoRequest;
  const hasReceipt = (headers[headerNames.receipt] ?? "") !== "";
  if (isSuccess(statusCode) && !isRefusal && !hasReceipt) return AnswerFault.NoReceipt;
  return undefined;
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
