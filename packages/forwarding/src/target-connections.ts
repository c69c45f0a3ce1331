//! Kept connections to targets. A connection on which something arrives while it is idle
//! is closed, since those bytes belong to no request.
import type { Milliseconds } from "@lovagebend/common";
import http from "node:http";
import type { Duplex } from "node:stream";

// Targets close idle connections after some seconds; a shorter limit of our own means
// that a request seldom meets a connection that is just being closed.
const idleLimit: Milliseconds = 4_000;
const largestIdlePerTarget = 32;

/// Owns the kept connections.
export class TargetConnections {
  readonly kept: http.Agent;

  constructor() {
    this.kept = new IdleCheckingAgent({
      keepAlive: true,
      maxFreeSockets: largestIdlePerTarget,
      scheduling: "lifo",
      noDelay: true,
      timeout: idleLimit,
    });
  }

  close(): void {
    this.kept.destroy();
  }
}

// Node's agent lets an idle socket wait for the next request without reading it, so that
// a late second answer would be taken for the answer to that request.
class IdleCheckingAgent extends http.Agent {
  private readonly rejections = new WeakMap<Duplex, () => void>();

  /// Also applies the time that the target announced for idle connections.
  override keepSocketAlive(socket: Duplex): boolean {
    super.keepSocketAlive(socket);
    if (socket.destroyed) return false;
    const reject = (): void => {
      socket.destroy();
    };
    socket.once("data", reject);
    socket.resume();
    this.rejections.set(socket, reject);
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    const reject = this.rejections.get(socket);
    if (reject !== undefined) socket.off("data", reject);
    super.reuseSocket(socket, request);
  }
}
