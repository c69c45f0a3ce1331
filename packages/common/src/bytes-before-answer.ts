//! Bounds the bytes that a server sends before the head of an answer.
import type http from "node:http";

// Four times the largest head that Node's client accepts. The client limits neither blank lines
// before a head nor the heads of interim responses together.
const maximumBytesBeforeAnswer = 64 * 1024;

/// Calls `onExcess` with a reason when the server has sent too many bytes and no head of an answer
/// to `outgoing`.
export function limitBytesBeforeAnswer(
  outgoing: http.ClientRequest,
  onExcess: (reason: string) => void,
): void {
  outgoing.once("socket", (socket) => {
    let received = 0;
    const count = (chunk: Buffer): void => {
      received += chunk.length;
      if (received > maximumBytesBeforeAnswer)
        onExcess(`more than ${maximumBytesBeforeAnswer} bytes before the head of an answer`);
    };
    const stopCounting = (): void => {
      // A listener that is removed while a chunk is being delivered still gets that chunk.
      received = -Infinity;
      socket.off("data", count);
    };
    socket.on("data", count);
    outgoing.once("response", stopCounting);
    outgoing.once("close", stopCounting);
  });
}
