//! Bytes of callers that are no request, or none that is served here, and requests that do not
//! arrive in time. Node's server would put its refusal in the place of an answer that is still
//! awaited on the connection, or close the connection in the middle of it.
import { ErrorKind, getErrorResponse, type Logger } from "@lovagebend/common";
import http from "node:http";
import type { Duplex } from "node:stream";
import type { OpenRequest, OpenRequests } from "./open-requests.js";

interface ReadFault extends Error {
  readonly code?: string;
}

const headersTooLargeStatus = 431;

/// Refuses such bytes at `server` with 400, 408 or 431 and closes their connection. Requests on it
/// that have been read as a whole get their answers before, and then there is no refusal.
export function refuseUnreadable(
  server: http.Server,
  openRequests: OpenRequests,
  logger: Logger,
): void {
  const refused = new WeakSet<Duplex>();
  const refuse = (socket: Duplex, code: string, status: number): void => {
    // The parser repeats its error for each further packet.
    if (refused.has(socket) || !socket.writable) return;
    refused.add(socket);
    const requests = openRequests.listOn(socket);
    const awaited = requests.filter(isAwaited);
    for (const unfinished of requests.filter((request) => !isAwaited(request)))
      unfinished.endReason = `unreadable: ${code}`;
    logger.warn("unreadable request", { code, status, awaitedAnswers: awaited.length });
    // Node does not listen to the connection any more.
    socket.on("error", (error: ReadFault) => {
      logger.info("caller connection failed", { code: error.code });
    });
    socket.once("end", () => socket.destroy());
    socket.resume();
    const close = (refusal = ""): void => {
      socket.end(refusal, () => socket.destroy());
    };
    const last = awaited.at(-1)?.response;
    if (last === undefined) {
      close(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
      return;
    }
    last.shouldKeepAlive = false;
    last.once("finish", () => {
      close();
    });
  };
  server.on("clientError", (error: ReadFault, socket) => {
    refuse(socket, error.code ?? error.message, findStatus(error.code));
  });
  server.on("connect", (_request, socket) => {
    refuse(socket, "CONNECT", getErrorResponse(ErrorKind.MalformedRequest).status);
  });
}

function findStatus(code: string | undefined): number {
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return getErrorResponse(ErrorKind.RequestTooSlow).status;
  if (code === "HPE_HEADER_OVERFLOW") return headersTooLargeStatus;
  return getErrorResponse(ErrorKind.MalformedRequest).status;
}

function isAwaited({ response }: OpenRequest): boolean {
  return response.req.complete || response.headersSent;
}
