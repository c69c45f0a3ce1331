//! One exchange with one target: sends a request, says whether it can have arrived, and
//! checks that the answer belongs to it.
import type { Milliseconds } from "@lovagebend/common";
import http from "node:http";
import { Result } from "true-myth";
import type { HeaderNames } from "./header-names.js";
import type { TargetConnections } from "./target-connections.js";

export interface TargetRequest {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly body: Buffer;
  /// A connection of its own, so that a kept one that is being closed cannot leave the
  /// outcome unknown.
  readonly freshConnection: boolean;
  readonly signal: AbortSignal;
}

/// The head of an answer; its body is still to be read from `message`. `isNotRun`: the
/// target states that it did not run the request.
export interface TargetResponse {
  readonly status: number;
  readonly message: http.IncomingMessage;
  readonly isNotRun: boolean;
  readonly faultyTarget: string | undefined;
  /// Whether the answer says where it ends. One that does not ends with its connection,
  /// and nobody can tell whether it is whole.
  readonly isDelimited: boolean;
  /// How the connection failed, if it has. An answer without a length looks whole to
  /// Node's client also when its connection was reset.
  readonly failure: () => string | undefined;
}

/// `notSent`: no connection came about, so the request cannot run. `unknown`: it may have
/// arrived. `answered`: the head of an answer to this request.
export type TargetReply =
  | { readonly kind: "answered"; readonly response: TargetResponse }
  | { readonly kind: "notSent"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

// Connections within a region take a few milliseconds; a target that is dark never
// answers. Below the shortest objective, so that another target can still answer in time.
const connectLimit: Milliseconds = 250;
const misdirectedStatus = 421;

/// Sends `request`. Never throws; an abort of its signal gives `unknown` or `notSent`.
export function sendToTarget(
  request: TargetRequest,
  connections: TargetConnections,
  names: HeaderNames,
): Promise<TargetReply> {
  return new Promise((resolve) => {
    let connected = false;
    let failure: string | undefined;
    const outgoing = http.request({
      host: request.host,
      port: request.port,
      method: request.method,
      path: request.path,
      headers: request.headers,
      agent: request.freshConnection ? false : connections.kept,
      setHost: false,
      signal: request.signal,
    });
    const fail = (reason: string): void => {
      failure = reason;
      clearTimeout(timer);
      resolve({ kind: connected ? "unknown" : "notSent", reason });
    };
    const timer = setTimeout(() => {
      if (connected) return;
      fail(`no connection within ${connectLimit} ms`);
      outgoing.destroy();
    }, connectLimit);
    outgoing.on("socket", (socket) => {
      if (socket.connecting) {
        socket.once("connect", () => {
          connected = true;
          clearTimeout(timer);
        });
      } else {
        connected = true;
        clearTimeout(timer);
      }
    });
    outgoing.on("error", (error) => {
      fail(error.message);
    });
    outgoing.on("response", (message) => {
      clearTimeout(timer);
      const { statusCode: status = 0, headers } = message;
      const echoed = headers[names.request];
      if (echoed !== undefined && echoed !== request.id) {
        outgoing.destroy();
        resolve({ kind: "unknown", reason: "the answer belongs to another request" });
        return;
      }
      const faultyTarget = headers[names.faultyTarget];
      resolve({
        kind: "answered",
        response: {
          status,
          message,
          isNotRun: headers[names.notRun] !== undefined || status === misdirectedStatus,
          faultyTarget: typeof faultyTarget === "string" ? faultyTarget : undefined,
          isDelimited:
            headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined,
          failure: () => failure,
        },
      });
    });
    outgoing.end(request.body);
  });
}

const largestAnswerBytes = 16 * 1024 * 1024;

/// Reads the body of an answer. The error says how it broke off.
export function readWhole({ message, failure }: TargetResponse): Promise<Result<Buffer, string>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > largestAnswerBytes) {
        resolve(Result.err(`answer larger than ${largestAnswerBytes} bytes`));
        message.destroy();
      }
    });
    message.on("error", (error) => {
      resolve(Result.err(error.message));
    });
    const finish = (): void => {
      const isWhole = message.complete && failure() === undefined;
      const reason = failure() ?? "the answer broke off";
      resolve(isWhole ? Result.ok(Buffer.concat(chunks)) : Result.err(reason));
    };
    message.on("end", finish);
    message.on("close", finish);
  });
}
