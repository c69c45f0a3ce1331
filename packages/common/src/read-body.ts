//! Reading the body of a request within a bound.
import type http from "node:http";
import { Result } from "true-myth";
import { ErrorKind, RouterError, RunState } from "./error-kind.js";

/// Reads a body of at most `largest` bytes.
export async function readBody(
  request: http.IncomingMessage,
  largest: number,
): Promise<Result<Buffer, RouterError>> {
  const isEmpty =
    request.headers["content-length"] === undefined &&
    request.headers["transfer-encoding"] === undefined;
  if (isEmpty) return Result.ok(Buffer.alloc(0));
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > largest) return Result.err(tooLarge(largest));
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > largest) return Result.err(tooLarge(largest));
      chunks.push(chunk);
    }
  } catch {
    return Result.err(new RouterError(ErrorKind.CallerGone, RunState.NotRun));
  }
  return Result.ok(Buffer.concat(chunks));
}

function tooLarge(largest: number): RouterError {
  const detail = `At most ${largest} bytes are taken.`;
  return new RouterError(ErrorKind.RequestTooLarge, RunState.NotRun, detail);
}
