//! The connections of callers that are kept open between requests. Node's own
//! `closeIdleConnections` also closes a connection on which an answer is still being sent.
import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";

interface ConnectionUse {
  openRequests: number;
  /// The size of all requests so far; undefined before the end of the first one.
  bytesReadWhenIdle: number | undefined;
}

export class KeptConnections {
  private readonly uses = new Map<Socket, ConnectionUse>();

  /// Tracks a connection until it closes.
  add(socket: Socket): void {
    this.uses.set(socket, { openRequests: 0, bytesReadWhenIdle: undefined });
    socket.once("close", () => this.uses.delete(socket));
  }

  beginRequest(socket: Socket): void {
    const use = this.uses.get(socket);
    if (use !== undefined) use.openRequests += 1;
  }

  /// Called when an answer has been sent completely.
  endRequest(socket: Socket): void {
    const use = this.uses.get(socket);
    if (use === undefined) return;
    use.openRequests -= 1;
    if (use.openRequests === 0) use.bytesReadWhenIdle = socket.bytesRead;
  }

  /// Closes the connections that have had a request and on which no other one has begun to
  /// arrive. What the operating system has received until then is read before.
  async closeIdle(): Promise<void> {
    // The first turn ends the one in which this was called; sockets are read before the second.
    await setImmediate();
    await setImmediate();
    for (const [socket, { openRequests, bytesReadWhenIdle }] of this.uses)
      if (openRequests === 0 && socket.bytesRead === bytesReadWhenIdle) socket.destroy();
  }
}
