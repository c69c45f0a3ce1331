//! Reads the body of an incoming HTTP request into memory. A maximum size bounds the
//! memory that a request can use.
import type http from "node:http";
import { Result } from "true-myth";
import { ErrorKind, RouterError, RunState } from "./error-kind.js";
import { MessageBody } from "./message-body.js";
import { ReceivedBody, Reception, type BodyMemory } from "./received-body.js";

const emptyBody = new MessageBody([], 0);
/// How long callers wait before they repeat a request for which there was no room.
export const noRoomRetrySeconds = 0.5;

export interface ReceiveOptions {
  readonly maximumBytes: number;
  /// Called with each chunk.
  readonly onChunk?: (chunk: Buffer) => void;
  readonly memory?: BodyMemory;
  /// Ends the reading; the result is then `CallerGone`.
  readonly signal?: AbortSignal;
}

/// Reads the whole body. The error is `RequestTooLarge` above `maximumBytes`, `CallersLimited` without
/// memory, and `CallerGone` when the caller closes the connection first. On an error the rest of
/// the body is read and discarded, until the caller of this function ends the connection.
export function receiveBody(
  request: http.IncomingMessage,
  { maximumBytes, onChunk, memory, signal }: ReceiveOptions,
): Promise<Result<MessageBody, RouterError>> {
  const announced = request.headers["content-length"];
  if (announced === undefined && request.headers["transfer-encoding"] === undefined)
    return Promise.resolve(Result.ok(emptyBody));
  if (Number(announced ?? 0) > maximumBytes)
    return Promise.resolve(Result.err(createTooLargeError(maximumBytes)));
  if (request.destroyed) return Promise.resolve(Result.err(createGoneError()));
  const announcedBytes = announced === undefined ? undefined : Number(announced);
  const received = new ReceivedBody(request.socket, { maximumBytes, announcedBytes, memory });
  return new Promise((resolve) => {
    const finish = (result: Result<MessageBody, RouterError>): void => {
      request.off("data", add).off("end", complete).off("close", fail).off("error", fail);
      signal?.removeEventListener("abort", fail);
      // Errors after the result must not end the process.
      request.on("error", () => undefined);
      if (result.isErr) {
        received.discard();
        // A request that is paused now would queue what has been parsed together with this chunk.
        request.on("data", () => undefined);
      }
      resolve(result);
    };
    const add = (chunk: Buffer): void => {
      const reception = received.add(chunk);
      switch (reception) {
        case Reception.Added:
          onChunk?.(chunk);
          return;
        case Reception.TooLarge:
          finish(Result.err(createTooLargeError(maximumBytes)));
          return;
        case Reception.NoMemory:
          finish(Result.err(createNoRoomError()));
          return;
      }
    };
    const complete = (): void => {
      finish(Result.ok(received.body));
    };
    const fail = (): void => {
      finish(Result.err(createGoneError()));
    };
    request.on("data", add).on("end", complete).on("close", fail).on("error", fail);
    signal?.addEventListener("abort", fail);
  });
}

/// As `receiveBody`, with the body in one buffer.
export async function readBody(
  request: http.IncomingMessage,
  maximumBytes: number,
  onChunk?: (chunk: Buffer) => void,
): Promise<Result<Buffer, RouterError>> {
  const options = onChunk === undefined ? { maximumBytes } : { maximumBytes, onChunk };
  return (await receiveBody(request, options)).map((body) => body.toBuffer());
}

/// The refusal of a request for whose bytes or work this entry VM has no room.
export function createNoRoomError(detail = ""): RouterError {
  return new RouterError(ErrorKind.CallersLimited, RunState.NotRun, detail, noRoomRetrySeconds);
}

function createTooLargeError(maximumBytes: number): RouterError {
  const detail = `At most ${maximumBytes} bytes are accepted.`;
  return new RouterError(ErrorKind.RequestTooLarge, RunState.NotRun, detail);
}

function createGoneError(): RouterError {
  return new RouterError(ErrorKind.CallerGone, RunState.NotRun);
}
