//! The pool of keep-alive connections to targets. An idle connection that receives data is
//! closed, since those bytes belong to no request.
import type { Milliseconds } from "@lovagebend/common";
import http from "node:http";
import type { Duplex } from "node:stream";
import type { ExchangeReport } from "./exchange-report.js";

// Targets close idle connections after some seconds. With a shorter timeout on this side, a
// request is seldom sent on a connection that the target is closing.
const idleTimeout: Milliseconds = 4_000;
const maximumIdlePerTarget = 32;
// An answer that is repeated comes within moments of the first.
const maximumSentIdentifiers = 10_000;

/// Owns the pool of keep-alive connections.
export class TargetConnections {
  /// Called once for each exchange, when its answer begins or it ends without one.
  onExchange: (report: ExchangeReport) => void = () => undefined;
  private readonly agent: http.Agent;
  /// The identifiers of requests by target, least recent first.
  private readonly sent = new Set<string>();

  constructor() {
    this.agent = new IdleCheckingAgent({
      keepAlive: true,
      maxFreeSockets: maximumIdlePerTarget,
      scheduling: "lifo",
      noDelay: true,
      timeout: idleTimeout,
    });
  }

  /// Returns the agent for a request to a target. A request whose identifier was sent to the
  /// target before gets a connection of its own, because an answer to the earlier one that is
  /// repeated on a kept connection could not be told from its answer.
  chooseAgent(host: string, port: number, id: string): http.Agent | false {
    const key = `${host}:${port} ${id}`;
    const wasSent = this.sent.delete(key);
    this.sent.add(key);
    for (const oldest of this.sent) {
      if (this.sent.size <= maximumSentIdentifiers) break;
      this.sent.delete(oldest);
    }
    return wasSent ? false : this.agent;
  }

  close(): void {
    this.agent.destroy();
  }
}

// Node's agent doesn't read from an idle socket. A late second answer would stay in the
// socket and would be read as the answer to the next request.
class IdleCheckingAgent extends http.Agent {
  private readonly idleDataListeners = new WeakMap<Duplex, () => void>();

  /// The base method also applies the idle timeout from the target's `keep-alive` header.
  override keepSocketAlive(socket: Duplex): boolean {
    super.keepSocketAlive(socket);
    if (socket.destroyed) return false;
    const closeSocket = (): void => {
      socket.destroy();
    };
    socket.once("data", closeSocket);
    socket.resume();
    this.idleDataListeners.set(socket, closeSocket);
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    const closeSocket = this.idleDataListeners.get(socket);
    if (closeSocket !== undefined) socket.off("data", closeSocket);
    super.reuseSocket(socket, request);
  }
}
