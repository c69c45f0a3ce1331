//! What HTTP does not allow in the head of a final response, and Node's parser takes all the same. Such a
//! response may be read as whole although a part of it is missing, or cannot be sent on.
import type http from "node:http";

export enum HttpViolation {
  Version = "the answer is not of HTTP/1",
  Status = "the answer has a status that HTTP does not allow here",
  Framing = "the answer has a framing that HTTP does not allow",
  FieldName = "the answer has a field whose name HTTP does not allow",
}

const minimumFinalStatus = 200;
const noContentStatus = 204;
const partialContentStatus = 206;
const maximumStatus = 599;
const tokenPattern = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/// Returns what is wrong with `message`, the response to a request with `requestHeaders`, whose names are
/// in lower case.
export function findHttpViolation(
  message: http.IncomingMessage,
  requestHeaders: http.OutgoingHttpHeaders,
): HttpViolation | undefined {
  const { statusCode: status = 0, headers, httpVersionMajor, httpVersionMinor } = message;
  if (httpVersionMajor !== 1) return HttpViolation.Version;
  if (status < minimumFinalStatus || status > maximumStatus) return HttpViolation.Status;
  if (status === partialContentStatus && requestHeaders.range === undefined)
    return HttpViolation.Status;
  const coding = headers["transfer-encoding"];
  // The only one that Node decodes, in this spelling.
  const isDecoded = coding === "chunked" && httpVersionMinor > 0;
  if (coding !== undefined && !isDecoded) return HttpViolation.Framing;
  const announcesBody = coding !== undefined || Number(headers["content-length"] ?? 0) > 0;
  if (status === noContentStatus && announcesBody) return HttpViolation.Framing;
  const isName = (text: string, index: number): boolean =>
    index % 2 === 1 || tokenPattern.test(text);
  return message.rawHeaders.every(isName) ? undefined : HttpViolation.FieldName;
}
