//! The connections of callers: their number, which is limited, the heads that are arriving on them, and
//! those that are kept open between requests. Node's own `closeIdleConnections` also closes a
//! connection on which an answer is still being sent.
import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import type { CallerMemory, CallerShare } from "./caller-memory.js";
import { LimitKind } from "./limit-report.js";

interface ConnectionUse {
  openRequests: number;
  /// The size of all requests so far; undefined before the end of the first one.
  bytesReadWhenIdle: number | undefined;
  /// The memory of a head that is arriving.
  head: CallerShare | undefined;
  headBytes: number;
}

// Heads of ordinary requests arrive in one piece and are not accounted for.
const smallestHeadBytes = 1_024;

export class KeptConnections {
  /// The connections, the oldest first.
  private readonly uses = new Map<Socket, ConnectionUse>();

  constructor(
    private readonly maximumConnections: number,
    private readonly memory: CallerMemory,
    private readonly onLimit: (kind: LimitKind) => void,
  ) {}

  get size(): number {
    return this.uses.size;
  }

  /// Tracks a connection until it closes. When there are too many, the oldest on which no request has
  /// arrived is closed for it, or the oldest that is idle, or else itself.
  add(socket: Socket): void {
    if (this.uses.size >= this.maximumConnections) {
      const replaced = this.findReplaceable();
      this.onLimit(
        replaced === undefined ? LimitKind.ConnectionRefused : LimitKind.ConnectionReplaced,
      );
      if (replaced === undefined) {
        socket.destroy();
        return;
      }
      this.remove(replaced);
      replaced.destroy();
    }
    this.uses.set(socket, {
      openRequests: 0,
      bytesReadWhenIdle: undefined,
      head: undefined,
      headBytes: 0,
    });
    socket.once("close", () => {
      this.remove(socket);
    });
  }

  beginRequest(socket: Socket): void {
    const use = this.uses.get(socket);
    if (use === undefined) return;
    use.openRequests += 1;
    releaseHead(use);
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

  /// Accounts for the heads that have arrived in part. To be called in regular intervals.
  sweep(): void {
    for (const [socket, use] of this.uses) {
      if (use.openRequests > 0) continue;
      const bytes = socket.bytesRead - (use.bytesReadWhenIdle ?? 0);
      if (bytes < smallestHeadBytes || bytes === use.headBytes) continue;
      use.head ??= this.memory.open(() => {
        socket.destroy();
      });
      use.head.recordProgress(bytes - use.headBytes);
      use.headBytes = bytes;
      if (use.head.isReleased || use.head.resize(bytes)) continue;
      this.onLimit(LimitKind.NoMemory);
      socket.destroy();
    }
  }

  private remove(socket: Socket): void {
    const use = this.uses.get(socket);
    if (use === undefined) return;
    releaseHead(use);
    this.uses.delete(socket);
  }

  private findReplaceable(): Socket | undefined {
    let idle: Socket | undefined;
    for (const [socket, { openRequests, bytesReadWhenIdle }] of this.uses) {
      if (openRequests > 0) continue;
      if (bytesReadWhenIdle === undefined) return socket;
      if (socket.bytesRead === bytesReadWhenIdle) idle ??= socket;
    }
    return idle;
  }
}

function releaseHead(use: ConnectionUse): void {
  use.head?.release();
  use.head = undefined;
  use.headBytes = 0;
}
