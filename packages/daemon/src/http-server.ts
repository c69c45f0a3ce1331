//! HTTP functions that both servers share: a server with limits on time and header size,
//! bearer tokens, and JSON and error responses.
import { getErrorResponse, type Milliseconds, type RouterError } from "@lovagebend/common";
import { createHash, timingSafeEqual } from "node:crypto";
import http from "node:http";
import type { AddressInfo } from "node:net";

const headersTimeout: Milliseconds = 5_000;
const requestTimeout: Milliseconds = 15_000;
const maximumHeaderBytes = 16 * 1024;

/// The JSON body of an error response, as documented in docs/API.md. `request` is the
/// identifier of the request.
export function createErrorBody(error: RouterError, requestId: string): object {
  const { advice } = getErrorResponse(error.kind);
  return {
    error: {
      kind: error.kind,
      run: error.run,
      advice,
      message: error.message,
      request: requestId,
      ...(error.retryAfterSeconds === undefined
        ? {}
        : { retry_after_seconds: error.retryAfterSeconds }),
    },
  };
}

/// Sends an error response. If the response has started, the connection is destroyed
/// instead. The connection closes after the response if the request was not fully read.
export function sendError(
  response: http.ServerResponse,
  error: RouterError,
  requestId: string,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const headers: http.OutgoingHttpHeaders = { "content-type": "application/json" };
  if (error.retryAfterSeconds !== undefined)
    headers["retry-after"] = String(error.retryAfterSeconds);
  if (!response.req.complete) headers.connection = "close";
  response.writeHead(getErrorResponse(error.kind).status, headers);
  response.end(JSON.stringify(createErrorBody(error, requestId)));
}

export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}

/// The SHA-256 digest of the bearer token of a request, or `undefined` without a token.
export function digestBearerToken(request: http.IncomingMessage): string | undefined {
  const token = /^Bearer ([\x21-\x7e]{1,200})$/i.exec(request.headers.authorization ?? "")?.[1];
  return token === undefined ? undefined : sha256(token);
}

export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/// Compares two digests in constant time.
export function areDigestsEqual(left: string, right: string): boolean {
  return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

/// Starts a server that rejects slow requests and oversized headers. Returns it with its
/// port. Rejects when it cannot listen.
export async function listen(
  address: { readonly host: string; readonly port: number },
  handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
): Promise<{ server: http.Server; port: number }> {
  const server = http.createServer(
    { maxHeaderSize: maximumHeaderBytes, headersTimeout, requestTimeout, noDelay: true },
    (request, response) => {
      response.on("error", () => undefined);
      void handle(request, response);
    },
  );
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}
