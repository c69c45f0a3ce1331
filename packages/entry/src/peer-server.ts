//! The HTTP server for peers: their messages, whose memory and time it bounds together, and requests of
//! callers that they relay.
import {
  getErrorResponse,
  readBody,
  runDetached,
  writeJsonText,
  type Logger,
} from "@lovagebend/common";
import { AnswerMemory } from "@lovagebend/forwarding";
import type http from "node:http";
import { createBoundedServer } from "./bounded-server.js";
import { maximumRelayedHeadBytes } from "./head-size.js";
import { maximumPeerMessageBytes } from "./peer-rpc.js";
import type { Peers } from "./peers.js";
import { isRelayed } from "./relayed-request.js";

// Of the messages that are being received from all peers.
const maximumMemoryBytes = 24 * 1024 * 1024;

/// `handleRelayed` answers the requests of callers that peers relay.
export function createPeerServer(
  peers: Pick<Peers, "receive">,
  handleRelayed: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  logger: Logger,
): http.Server {
  const memory = new AnswerMemory(maximumMemoryBytes);
  const handle = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    if (isRelayed(request)) {
      runDetached(logger, "relayed request", handleRelayed(request, response));
      return;
    }
    const handling = handleRequest(peers, memory, logger, request, response).catch(
      (error: unknown) => {
        response.destroy();
        throw error;
      },
    );
    runDetached(logger, "peer request", handling);
  };
  const server = createBoundedServer(logger, handle, maximumRelayedHeadBytes);
  // Node would drop the marks of the relay behind as many fields as callers may send.
  server.maxHeadersCount = 0;
  return server;
}

async function handleRequest(
  peers: Pick<Peers, "receive">,
  memory: AnswerMemory,
  logger: Logger,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const share = memory.open(() => {
    logger.warn("message of a peer given up", { reason: "those being received exceed the memory" });
    request.destroy();
  });
  const body = await readBody(request, maximumPeerMessageBytes, (chunk) => {
    share.add(chunk);
  });
  share.release();
  if (body.isErr) {
    response.writeHead(getErrorResponse(body.error.kind).status, { connection: "close" }).end();
    return;
  }
  const reply = await peers.receive(body.value.toString("utf8"));
  const text = writeJsonText(reply);
  if (text.isErr) throw new Error(`the reply has no JSON form: ${text.error}`);
  response.writeHead(200, { "content-type": "application/json" }).end(text.value);
}
