//! Resets of a connection that Node does not report.
import type { Socket } from "node:net";

/// Calls back at the end of the connection if it was reset. Node reads a reset that arrives together
/// with bytes as the plain end of the connection. Only a connection that was reset has no remote address
/// at its end.
export function onUnreportedReset(socket: Socket, callback: () => void): void {
  const checkReset = (): void => {
    if (socket.remoteAddress === undefined) callback();
  };
  socket.prependOnceListener("end", checkReset);
}
