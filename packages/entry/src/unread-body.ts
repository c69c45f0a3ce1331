//! Ends a refusal that is sent while the body of its request is still on its way. A connection
//! that closes with unread bytes is reset, and then its caller may not get to read the refusal.
import type { Milliseconds } from "@lovagebend/common";
import type http from "node:http";
import type { ReadRate } from "./read-rate.js";

// For a caller that goes on sending. Such callers wait no longer for the end of a connection.
const discardTimeout: Milliseconds = 1_000;

// The time that a chunk takes however small it is, as bytes that could be read meanwhile.
const chunkOverheadBytes = 512;

/// Ends `response`, whose whole body has been written, when the rest of `request` has arrived, which
/// is discarded at the rate of `discards`, or when the caller closes the connection, at the latest
/// after a second.
export function endAfterBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  discards: ReadRate,
): void {
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, discardTimeout);
  request.once("end", end);
  request.once("close", end);
  request.on("data", (chunk: Buffer) => {
    discards.count(request.socket, chunk.length + chunkOverheadBytes);
  });
  request.resume();
}
