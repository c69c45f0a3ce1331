//! The framing of an answer that has been received to its end. It promises the caller no more than the
//! server's own framing does: where the server has marked no end, nothing shows whether the answer is
//! whole.
import type http from "node:http";

/// How the end of an answer is marked for the caller. `chunked` is for an answer whose length is not
/// known when it begins; a caller that cannot read chunks gets the end of its connection as the mark.
/// `unmarked` is for an answer whose server has marked no end, so that it may be a part. `noBody` is for
/// an answer that HTTP allows none; it carries the length that the server has announced, if any.
export type Framing =
  | { readonly kind: "length"; readonly bytes: number }
  | { readonly kind: "chunked" }
  | { readonly kind: "unmarked"; readonly bytes: number }
  | { readonly kind: "noBody"; readonly announcedLength: string | undefined };

/// What the head of an answer says of its end.
export interface Delimitation {
  /// Whether HTTP allows the answer a body, by its status and the method of the request.
  readonly mayHaveBody: boolean;
  /// Whether the answer has a length or chunked encoding, or may have no body. Otherwise the answer
  /// ends when the connection closes, and a truncated answer cannot be detected.
  readonly isDelimited: boolean;
}

const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/// Reads the head of `message`, the answer to a request with `method`.
export function findDelimitation(
  { statusCode: status = 0, headers }: http.IncomingMessage,
  method: string,
): Delimitation {
  const mayHaveBody = method !== "HEAD" && !bodylessStatuses.has(status);
  const isDelimited =
    !mayHaveBody ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  return { mayHaveBody, isDelimited };
}

/// The framing for the caller of an answer with `headers` and a body of `bytes`.
export function frameReceived(
  { mayHaveBody, isDelimited }: Delimitation,
  headers: Pick<http.IncomingHttpHeaders, "content-length">,
  bytes: number,
): Framing {
  if (!mayHaveBody) return { kind: "noBody", announcedLength: headers["content-length"] };
  return { kind: isDelimited ? "length" : "unmarked", bytes };
}
