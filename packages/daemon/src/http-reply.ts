//! Reading requests within bounds and writing answers, shared by both servers.
import { answerFor, type Milliseconds, type RouterError } from "@lovagebend/common";
import { createHash, timingSafeEqual } from "node:crypto";
import http from "node:http";
import type { AddressInfo } from "node:net";

const headersTimeout: Milliseconds = 5_000;
const requestTimeout: Milliseconds = 15_000;
const largestHeaderBytes = 16 * 1024;

/// The JSON form of an error, as docs/API.md publishes it.
export function errorBody(error: RouterError, request: string): object {
  const { advice } = answerFor(error.kind);
  return {
    error: {
      kind: error.kind,
      run: error.run,
      advice,
      message: error.message,
      request,
      ...(error.retryAfterSeconds === undefined
        ? {}
        : { retry_after_seconds: error.retryAfterSeconds }),
    },
  };
}

/// Answers with an error. The connection is closed when the request was not read
/// whole.
export function sendError(
  response: http.ServerResponse,
  error: RouterError,
  request: string,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const headers: http.OutgoingHttpHeaders = { "content-type": "application/json" };
  if (error.retryAfterSeconds !== undefined)
    headers["retry-after"] = String(error.retryAfterSeconds);
  if (!response.req.complete) headers.connection = "close";
  response.writeHead(answerFor(error.kind).status, headers);
  response.end(JSON.stringify(errorBody(error, request)));
}

export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}

/// The SHA-256 digest of the bearer token of a request, `undefined` without one.
export function bearerDigest(request: http.IncomingMessage): string | undefined {
  const token = /^Bearer ([\x21-\x7e]{1,200})$/i.exec(request.headers.authorization ?? "")?.[1];
  return token === undefined ? undefined : sha256(token);
}

export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

export function sameDigest(left: string, right: string): boolean {
  return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

/// A server that ends slow and oversized requests by itself, with its port.
export async function listen(
  address: { readonly host: string; readonly port: number },
  handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
): Promise<{ server: http.Server; port: number }> {
  const server = http.createServer(
    { maxHeaderSize: largestHeaderBytes, headersTimeout, requestTimeout, noDelay: true },
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
