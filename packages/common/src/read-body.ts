//! Reads the body of an incoming HTTP request into memory. A maximum size bounds the
//! memory that a request can use.
import type http from "node:http";
import { Result } from "true-myth";
import { ErrorKind, RouterError, RunState } from "./error-kind.js";
import { ReceivedBody } from "./received-body.js";

/// Reads the whole body. The error is `RequestTooLarge` above `maximumBytes`, and
/// `CallerGone` when the caller closes the connection first. `onChunk` is called with each chunk.
export async function readBody(
  request: http.IncomingMessage,
  maximumBytes: number,
  onChunk: (chunk: Buffer) => void = () => undefined,
): Promise<Result<Buffer, RouterError>> {
  const isEmpty =
    request.headers["content-length"] === undefined &&
    request.headers["transfer-encoding"] === undefined;
  if (isEmpty) return Result.ok(Buffer.alloc(0));
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > maximumBytes) return Result.err(createTooLargeError(maximumBytes));
  const body = new ReceivedBody(request.socket, maximumBytes);
  try {
    // The connection stays open for the refusal of a body that is too large.
    const readChunks = request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
    for await (const chunk of readChunks) {
      if (!body.add(chunk)) return Result.err(createTooLargeError(maximumBytes));
      onChunk(chunk);
    }
  } catch {
    return Result.err(new RouterError(ErrorKind.CallerGone, RunState.NotRun));
  }
  return Result.ok(body.bytes);
}

function createTooLargeError(maximumBytes: number): RouterError {
  const detail = `At most ${maximumBytes} bytes are accepted.`;
  return new RouterError(ErrorKind.RequestTooLarge, RunState.NotRun, detail);
}
