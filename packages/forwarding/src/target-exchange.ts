//! One exchange with one target: sends a request, reports whether it can have reached the
//! target, and checks that the answer belongs to the request.
import {
  findDelimitation,
  limitBytesBeforeAnswer,
  onUnreportedReset,
  type Delimitation,
  type MessageBody,
  type Milliseconds,
} from "@lovagebend/common";
import http from "node:http";
import { Result } from "true-myth";
import { findAnswerFault, statesNotRun } from "./answer-check.js";
import type { AnswerMemory } from "./answer-memory.js";
import { ExchangeEnd } from "./exchange-end.js";
import { ConnectionKind, ExchangeResult } from "./exchange-report.js";
import type { HeaderNames } from "./header-names.js";
import type { TargetConnections } from "./target-connections.js";

export interface TargetRequest {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly body: MessageBody;
  /// Whether to open a new connection. On a keep-alive connection that the target is closing,
  /// the outcome of the request would be unknown.
  readonly requiresNewConnection: boolean;
  /// Whether the request may run more than once.
  readonly isRetryable: boolean;
  /// The time until the deadline, at which the exchange ends, its answer read or not.
  readonly timeLeft: Milliseconds;
  /// Ends the exchange before its deadline.
  readonly signal: AbortSignal;
}

/// The head of an answer; the body has not been read from `message`. `isNotRun` is set if the
/// target reports that it did not run the request.
export interface TargetResponse extends Delimitation {
  readonly status: number;
  readonly message: http.IncomingMessage;
  readonly isNotRun: boolean;
  readonly faultyTarget: string | undefined;
  /// The error of the connection, if it has failed. Node's client reports an answer without a
  /// length as complete even if its connection was reset.
  readonly getConnectionError: () => string | undefined;
  /// Calls back when the exchange ends at its deadline or by its signal, with the reason. Does not
  /// depend on the connection or on `message`, which may report nothing any more.
  readonly onEnd: (callback: (reason: string) => void) => void;
}

/// `notSent`: no connection was established, so the target cannot run the request.
/// `unknown`: the request may have reached the target. `answered`: the head of an answer to
/// this request. `connection` is the one on which the request was sent or was to be sent.
export type ExchangeOutcome =
  | {
      readonly kind: "answered";
      readonly response: TargetResponse;
      readonly connection: ConnectionKind;
    }
  | { readonly kind: "notSent"; readonly reason: string; readonly connection: ConnectionKind }
  | { readonly kind: "unknown"; readonly reason: string; readonly connection: ConnectionKind };

// A connection within a region takes a few milliseconds; a target that is unreachable never
// answers. The timeout is below the shortest latency objective of any route, so that another
// target can still answer in time.
const connectTimeout: Milliseconds = 250;
// Targets announce an answer with a few interim responses (status 1xx) at most.
const maximumInterimResponses = 16;

/// Sends `request`. Never throws; if its signal is aborted or its time is over, the result is
/// `unknown` or `notSent`.
export function sendToTarget(
  request: TargetRequest,
  connections: TargetConnections,
  headerNames: HeaderNames,
): Promise<ExchangeOutcome> {
  return new Promise((resolve) => {
    let isConnected = false;
    let connectionError: string | undefined;
    const agent = connections.chooseAgent(request.host, request.port, request.id);
    let outgoing: http.ClientRequest;
    try {
      outgoing = http.request({
        host: request.host,
        port: request.port,
        method: request.method,
        path: request.path,
        headers: request.headers,
        agent: request.requiresNewConnection ? false : agent,
        setHost: false,
      });
    } catch (error) {
      // An address or a header that Node does not accept.
      const connection = ConnectionKind.New;
      const result = ExchangeResult.NotConnected;
      connections.onExchange({ service: request.service, connection, result });
      resolve({ kind: "notSent", reason: String(error), connection });
      return;
    }
    let isSettled = false;
    const settle = (outcome: ExchangeOutcome, result: ExchangeResult): void => {
      if (isSettled) return;
      isSettled = true;
      const { connection } = outcome;
      connections.onExchange({ service: request.service, connection, result });
      resolve(outcome);
    };
    const fail = (reason: string, result: ExchangeResult): void => {
      connectionError ??= reason;
      clearTimeout(timer);
      const connection = getConnectionKind(outgoing);
      settle({ kind: isConnected ? "unknown" : "notSent", reason, connection }, result);
    };
    const end = new ExchangeEnd(request.timeLeft, request.signal);
    let incoming: http.IncomingMessage | undefined;
    const timer = setTimeout(() => {
      if (isConnected) return;
      fail(`no connection within ${connectTimeout} ms`, ExchangeResult.ConnectionTimedOut);
      outgoing.destroy();
    }, connectTimeout);
    outgoing.on("socket", (socket) => {
      if (socket.connecting) {
        socket.once("connect", () => {
          isConnected = true;
          clearTimeout(timer);
        });
      } else {
        isConnected = true;
        clearTimeout(timer);
      }
    });
    outgoing.on("error", (error) => {
      fail(error.message, classifyError(error, isConnected));
    });
    outgoing.on("close", () => {
      if (incoming !== undefined) return;
      fail(
        "the connection closed without an answer",
        isConnected ? ExchangeResult.EndedWithoutAnswer : ExchangeResult.NotConnected,
      );
      end.release();
    });
    outgoing.on("upgrade", (_message, socket) => {
      fail("a protocol switch that was not requested", ExchangeResult.InvalidAnswer);
      socket.destroy();
    });
    limitBytesBeforeAnswer(outgoing, (reason) => {
      fail(reason, ExchangeResult.InvalidAnswer);
      outgoing.destroy();
    });
    let interimResponses = 0;
    outgoing.on("information", () => {
      interimResponses += 1;
      if (interimResponses <= maximumInterimResponses) return;
      fail(`more than ${maximumInterimResponses} interim responses`, ExchangeResult.InvalidAnswer);
      outgoing.destroy();
    });
    outgoing.on("response", (message) => {
      clearTimeout(timer);
      incoming = message;
      message.on("close", () => {
        end.release();
      });
      const { statusCode: status = 0, headers } = message;
      const fault = findAnswerFault(message, request, outgoing.reusedSocket, headerNames);
      const connection = getConnectionKind(outgoing);
      if (fault !== undefined) {
        outgoing.destroy();
        settle({ kind: "unknown", reason: fault, connection }, ExchangeResult.InvalidAnswer);
        return;
      }
      const faultyTarget = headers[headerNames.faultyTarget];
      const delimitation = findDelimitation(message, request.method);
      if (!delimitation.isDelimited)
        onUnreportedReset(message.socket, () => {
          connectionError ??= "the connection was reset";
        });
      const response: TargetResponse = {
        status,
        message,
        isNotRun: statesNotRun(message, headerNames),
        faultyTarget: typeof faultyTarget === "string" ? faultyTarget : undefined,
        ...delimitation,
        getConnectionError: () => connectionError,
        onEnd: (callback) => {
          end.onEnd(callback);
        },
      };
      settle({ kind: "answered", response, connection }, ExchangeResult.Answered);
    });
    end.onEnd((reason) => {
      const isCancelled = request.signal.aborted;
      fail(reason, isCancelled ? ExchangeResult.Cancelled : ExchangeResult.DeadlinePassed);
      incoming?.destroy(new Error(reason));
      outgoing.destroy();
    });
    sendBody(outgoing, request.body);
  });
}

function getConnectionKind({ reusedSocket }: http.ClientRequest): ConnectionKind {
  return reusedSocket ? ConnectionKind.Kept : ConnectionKind.New;
}

function classifyError({ code }: NodeJS.ErrnoException, isConnected: boolean): ExchangeResult {
  if (!isConnected)
    return code === "ECONNREFUSED" ? ExchangeResult.ConnectionRefused : ExchangeResult.NotConnected;
  return code?.startsWith("HPE_") === true
    ? ExchangeResult.InvalidAnswer
    : ExchangeResult.EndedWithoutAnswer;
}

// The last part goes together with the end, so that a body of one part is sent in one packet with its
// head.
function sendBody(outgoing: http.ClientRequest, { parts }: MessageBody): void {
  for (const part of parts.slice(0, -1)) outgoing.write(part);
  outgoing.end(parts.at(-1));
}

const maximumAnswerBytes = 16 * 1024 * 1024;
// Longer answers with a length are copied into one buffer as they arrive. Their chunks then become garbage
// at once, and the answer is not held twice at its end.
const smallAnswerBytes = 64 * 1024;

/// Reads the complete body of an answer. Returns an error if the connection fails or closes
/// before the end of the answer, if the exchange ends, if the answer exceeds the maximum size, or
/// if it is among the largest when the answers that are being read exceed `memory`.
export function readBody(
  { message, getConnectionError, onEnd }: TargetResponse,
  memory: AnswerMemory,
): Promise<Result<Buffer, string>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let whole: Buffer | undefined;
    let size = 0;
    const giveUp = (reason: string): void => {
      share.release();
      chunks.length = 0;
      whole = undefined;
      resolve(Result.err(reason));
      message.destroy();
    };
    const share = memory.open(() => {
      giveUp(`the answers being read exceed the memory; this one has ${size} bytes`);
    });
    message.on("data", (chunk: Buffer) => {
      if (message.destroyed) return;
      if (size === 0) whole = allocateLongAnswer(message);
      if (whole === undefined) chunks.push(chunk);
      else chunk.copy(whole, size);
      size += chunk.length;
      share.add(chunk);
      if (size > maximumAnswerBytes) giveUp(`the answer exceeds ${maximumAnswerBytes} bytes`);
    });
    message.on("error", (error) => {
      giveUp(error.message);
    });
    onEnd(giveUp);
    const finish = (): void => {
      share.release();
      const isWhole = message.complete && getConnectionError() === undefined;
      const reason = getConnectionError() ?? "the connection closed before the answer was complete";
      resolve(
        isWhole ? Result.ok(whole?.subarray(0, size) ?? Buffer.concat(chunks)) : Result.err(reason),
      );
    };
    message.on("end", finish);
    message.on("close", finish);
  });
}

// The memory of a buffer becomes resident only as it is filled.
function allocateLongAnswer({ headers }: http.IncomingMessage): Buffer | undefined {
  const announced = Number(headers["content-length"]);
  const isLong = announced > smallAnswerBytes && announced <= maximumAnswerBytes;
  return isLong ? Buffer.allocUnsafeSlow(announced) : undefined;
}
