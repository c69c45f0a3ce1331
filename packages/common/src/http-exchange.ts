//! An HTTP client for single exchanges with a timeout and a bound on the response
//! size. A failure states whether the server can have received the request.
import http from "node:http";
import { Result } from "true-myth";
import { findDelimitation, type Delimitation } from "./answer-framing.js";
import { limitBytesBeforeAnswer } from "./bytes-before-answer.js";
import type { Milliseconds } from "./clock.js";
import { findHttpViolation } from "./http-violation.js";
import { parseJsonText, writeJsonText } from "./json-text.js";
import { ReceivedBody, Reception } from "./received-body.js";
import { onUnreportedReset } from "./unreported-reset.js";

/// The endpoint of a request. Passing host and port avoids the cost of parsing a URL.
export interface Endpoint {
  readonly host: string;
  readonly port: number;
  readonly path: string;
}

/// A request. A response with a body of more than `maximumResponseBytes` is a failure, and so is one
/// that takes far more bytes on the connection. `timeout` is that of the whole exchange.
/// `requiresNewConnection` opens a new connection for it, so that a stale
/// keep-alive connection cannot make its outcome unknown.
export interface ExchangeRequest {
  readonly url: string | Endpoint;
  readonly method: string;
  readonly body?: Buffer | string | undefined;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly timeout: Milliseconds;
  /// The default suits responses with the rows of whole tables.
  readonly maximumResponseBytes?: number;
  readonly requiresNewConnection?: boolean;
  readonly signal?: AbortSignal;
}

/// A response that has been read to its end. Where its server has marked no end, it may be a part.
export interface ExchangeResponse extends Delimitation {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/// `notSent`: no connection was established, so the server cannot have received the
/// request. `unknown`: bytes may have been written, so the request may have taken effect; the response
/// is missing or not one that HTTP allows.
/// `malformed`: the response is too large or not JSON. `reason` is for people. `isRefused` is set if
/// nothing listens on the address.
export interface ExchangeFailure {
  readonly kind: "notSent" | "unknown" | "malformed";
  readonly reason: string;
  readonly isRefused: boolean;
}

/// A request with a JSON body, and the response with its parsed body.
export type JsonRequest = Omit<ExchangeRequest, "body"> & { readonly body?: unknown };
export type JsonResponse = Omit<ExchangeResponse, "body"> & { readonly body: unknown };

const defaultMaximumResponseBytes = 16 * 1024 * 1024;
const idleSocketTimeout: Milliseconds = 5_000;
const maximumSocketsPerHost = 256;
const keepAliveAgent = new http.Agent({
  keepAlive: true,
  maxSockets: maximumSocketsPerHost,
  timeout: idleSocketTimeout,
});

/// Sends `request` and reads the whole response. Never throws: network failures, timeouts,
/// aborts and addresses that are not valid are returned.
export function exchange(
  request: ExchangeRequest,
): Promise<Result<ExchangeResponse, ExchangeFailure>> {
  return new Promise((resolve) => {
    let isConnected = false;
    const { url, maximumResponseBytes = defaultMaximumResponseBytes } = request;
    const options: http.RequestOptions = {
      method: request.method,
      agent: request.requiresNewConnection === true ? false : keepAliveAgent,
      ...(request.signal === undefined ? {} : { signal: request.signal }),
      headers: { ...request.headers, ...createLengthHeader(request.body) },
    };
    let outgoing: http.ClientRequest;
    try {
      outgoing =
        typeof url === "string" ? http.request(url, options) : http.request({ ...options, ...url });
    } catch (error) {
      // An address or a header that Node does not accept.
      resolve(Result.err({ kind: "notSent", reason: String(error), isRefused: false }));
      return;
    }
    const fail = (kind: ExchangeFailure["kind"], reason: string, isRefused = false): void => {
      clearTimeout(timer);
      resolve(Result.err({ kind, reason, isRefused }));
      outgoing.destroy();
    };
    const failWithoutResponse = (reason: string, isRefused = false): void => {
      fail(isConnected ? "unknown" : "notSent", reason, isRefused);
    };
    const timer = setTimeout(() => {
      failWithoutResponse(`no response within ${request.timeout} ms`);
    }, request.timeout);
    outgoing.on("socket", (socket) => {
      if (!socket.connecting) {
        isConnected = true;
        return;
      }
      socket.once("connect", () => {
        isConnected = true;
      });
    });
    outgoing.on("error", (error: NodeJS.ErrnoException) => {
      failWithoutResponse(error.message, error.code === "ECONNREFUSED");
    });
    limitBytesBeforeAnswer(outgoing, failWithoutResponse);
    outgoing.on("response", (incoming) => {
      const violation = findHttpViolation(incoming, request.headers ?? {});
      if (violation !== undefined) {
        fail("unknown", violation);
        return;
      }
      const delimitation = findDelimitation(incoming, request.method);
      const received = new ReceivedBody(incoming.socket, { maximumBytes: maximumResponseBytes });
      if (!delimitation.isDelimited)
        onUnreportedReset(incoming.socket, () => {
          fail("unknown", "the connection was reset");
        });
      incoming.on("data", (chunk: Buffer) => {
        if (received.add(chunk) !== Reception.Added)
          fail("malformed", "response body is too large");
      });
      incoming.on("error", (error) => {
        fail("unknown", error.message);
      });
      incoming.on("end", () => {
        clearTimeout(timer);
        const { statusCode = 0, headers } = incoming;
        const body = received.body.toBuffer();
        resolve(Result.ok({ status: statusCode, headers, body, ...delimitation }));
      });
    });
    outgoing.end(request.body);
  });
}

/// Sends `request` with a JSON body and parses the JSON response; an empty body gives
/// `null`. Returns failures as `exchange` does.
export async function exchangeJson(
  request: JsonRequest,
): Promise<Result<JsonResponse, ExchangeFailure>> {
  const encoded = encodeJsonRequest(request);
  if (encoded.isErr) return Result.err(encoded.error);
  return (await exchange(encoded.value)).andThen(parseJsonResponse);
}

/// The request that `exchangeJson` sends. Returns a failure if the body has no JSON form.
export function encodeJsonRequest(request: JsonRequest): Result<ExchangeRequest, ExchangeFailure> {
  const body = request.body === undefined ? Result.ok(undefined) : writeJsonText(request.body);
  return body
    .map((text) => ({
      ...request,
      body: text,
      headers: { "content-type": "application/json", ...request.headers },
    }))
    .mapErr((reason) => ({
      kind: "notSent",
      reason: `request body has no JSON form: ${reason}`,
      isRefused: false,
    }));
}

/// Parses the body of a response as `exchangeJson` does.
export function parseJsonResponse(
  response: ExchangeResponse,
): Result<JsonResponse, ExchangeFailure> {
  return parseJsonBody(response.body.toString("utf8")).map((body) => ({ ...response, body }));
}

/// As `exchangeJson`, for idempotent requests: when the outcome is unknown, retries once
/// over a new connection, since the keep-alive connection may never respond again.
export async function exchangeJsonWithRetry(
  request: JsonRequest,
): Promise<Result<JsonResponse, ExchangeFailure>> {
  const first = await exchangeJson(request);
  if (first.isOk || first.error.kind !== "unknown") return first;
  return exchangeJson({ ...request, requiresNewConnection: true });
}

function createLengthHeader(body: Buffer | string | undefined): http.OutgoingHttpHeaders {
  return body === undefined ? {} : { "content-length": Buffer.byteLength(body) };
}

function parseJsonBody(text: string): Result<unknown, ExchangeFailure> {
  if (text === "") return Result.ok(null);
  return parseJsonText(text).mapErr((reason) => ({
    kind: "malformed",
    reason: `response body is not JSON: ${reason}`,
    isRefused: false,
  }));
}
