//! The servers that callers do not use: for peers, readiness checks and metrics. What a client may send
//! is bounded in time.
import type { Milliseconds } from "@lovagebend/common";
import http from "node:http";

// The time for a whole request to arrive. Longer than peers wait for the reply to their largest
// messages.
const requestTimeout: Milliseconds = 3_000;
const checkInterval: Milliseconds = 500;

export function createBoundedServer(
  handle: (request: http.IncomingMessage, response: http.ServerResponse) => void,
): http.Server {
  const options = {
    requestTimeout,
    headersTimeout: requestTimeout,
    connectionsCheckingInterval: checkInterval,
  };
  return http.createServer(options, handle);
}
