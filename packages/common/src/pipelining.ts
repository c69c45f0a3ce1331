//! Bounds the requests that are at work on one connection. Node's server hands out each request that it
//! has read, also while earlier ones of the connection have no answer.
import type http from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "./logger.js";

// Callers send a request when they have the answer to the one before.
const maximumRequestsAtWork = 16;

/// Closes a connection on which too many requests are at work. Must be called before the first
/// request. Listeners of `server` get the requests that were read together with it too, on a
/// connection that is destroyed.
export function limitPipelining(server: http.Server, logger: Logger): void {
  const atWork = new WeakMap<Socket, number>();
  server.prependListener("request", ({ socket }, response) => {
    // Behind the last answer of a connection, none is taken up.
    if (socket.destroyed || socket.writableEnded) return;
    const count = (atWork.get(socket) ?? 0) + 1;
    atWork.set(socket, count);
    response.once("finish", () => {
      atWork.set(socket, (atWork.get(socket) ?? 1) - 1);
    });
    if (count <= maximumRequestsAtWork) return;
    logger.warn("connection closed", { reason: `more than ${maximumRequestsAtWork} requests` });
    socket.destroy();
  });
}
