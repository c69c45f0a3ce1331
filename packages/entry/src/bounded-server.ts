//! The servers that callers do not use: for peers, readiness checks and metrics. What a client may send
//! is bounded in time and in requests at work.
import { limitPipelining, type Logger, type Milliseconds } from "@lovagebend/common";
import http from "node:http";

// The time for a whole request to arrive. Longer than peers wait for the reply to their largest
// messages.
const requestTimeout: Milliseconds = 3_000;
const checkInterval: Milliseconds = 500;

/// Refuses a request whose head has `maxHeaderSize` bytes or more, as Node counts them.
export function createBoundedServer(
  logger: Logger,
  handle: (request: http.IncomingMessage, response: http.ServerResponse) => void,
  maxHeaderSize = http.maxHeaderSize,
): http.Server {
  const options = {
    maxHeaderSize,
    requestTimeout,
    headersTimeout: requestTimeout,
    connectionsCheckingInterval: checkInterval,
  };
  const server = http.createServer(options, (request, response) => {
    if (!request.socket.destroyed) handle(request, response);
  });
  limitPipelining(server, logger);
  return server;
}
