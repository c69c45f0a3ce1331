//! Writes the head of an answer to a caller with the fields of its framing, and ends the connection
//! behind an answer whose end it marks.
import type http from "node:http";
import type { Socket } from "node:net";
import type { Framing } from "./answer-framing.js";
import type { Milliseconds } from "./clock.js";

const noContentStatus = 204;
// Of an answer with its head. The operating system takes as much at once and sends it although the
// process is killed, on a connection whose caller has read what was sent before. The end of a longer
// answer could be that of the process.
const maximumUnmarkedBytes = 24 * 1024;
// For the status line and the fields that Node adds.
const reservedHeadBytes = 256;
// For a caller that does not close its connection.
const lingerTimeout: Milliseconds = 1_000;

/// Writes the head of an answer. Returns whether the answer ends with its connection. `headers` name no
/// length and no coding.
export function writeFramedHead(
  response: http.ServerResponse,
  status: number,
  headers: http.OutgoingHttpHeaders,
  framing: Framing,
): boolean {
  const framedHeaders = { ...headers };
  let endsWithConnection = false;
  switch (framing.kind) {
    case "length":
      if (status !== noContentStatus) framedHeaders["content-length"] = framing.bytes;
      break;
    case "chunked":
      endsWithConnection = response.req.httpVersion !== "1.1";
      break;
    case "unmarked": {
      const headBytes = countHeadBytes({ ...response.getHeaders(), ...headers });
      endsWithConnection = headBytes + framing.bytes <= maximumUnmarkedBytes;
      if (endsWithConnection) closeAfterCaller(response.socket);
      else framedHeaders["content-length"] = framing.bytes;
      break;
    }
    case "noBody":
      if (framing.announcedLength !== undefined && status !== noContentStatus)
        framedHeaders["content-length"] = framing.announcedLength;
      break;
  }
  if (endsWithConnection) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(status, framedHeaders);
  return endsWithConnection;
}

function countHeadBytes(headers: http.OutgoingHttpHeaders): number {
  return Object.entries(headers)
    .flatMap(([name, values]) =>
      [values].flat().map((value) => name.length + String(value).length + 4),
    )
    .reduce((sum, bytes) => sum + bytes, reservedHeadBytes);
}

// Makes Node's server end its half of the connection behind the answer, and close the connection when the
// caller has ended the other half. Closed earlier, it is reset by what the caller is still sending, and
// the caller may lose what it has not read.
function closeAfterCaller(socket: Socket | null): void {
  if (socket === null) return;
  socket.destroySoon = () => {
    socket.end();
    const timer = setTimeout(() => {
      socket.destroy();
    }, lingerTimeout);
    socket.once("close", () => {
      clearTimeout(timer);
    });
  };
}
