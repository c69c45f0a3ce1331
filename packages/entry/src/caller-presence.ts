//! Detects callers that have left before their request was read.
import type http from "node:http";
import { setImmediate } from "node:timers/promises";

/// Resolves to whether the caller has closed the connection of `request`, as far as it can be read
/// now. A close that arrived behind the request is read one turn of the event loop later.
export async function hasCallerLeft({ socket }: http.IncomingMessage): Promise<boolean> {
  // The first turn ends the one in which the request was read.
  await setImmediate();
  await setImmediate();
  return socket.destroyed || socket.readableEnded;
}
