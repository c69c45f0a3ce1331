//! The order of the requests of one connection. Node's server hands out each request that it has read, also
//! while earlier ones of the connection have no answer.
import type { Duplex } from "node:stream";

/// The open requests of connections, each from its head to the end of its answer.
export class RequestTurns<Request extends object> {
  /// In their order, with what begins the turn of those that wait.
  private readonly queues = new Map<Duplex, Map<Request, () => void>>();

  /// Those of all connections.
  list(): Request[] {
    return [...this.queues.keys()].flatMap((connection) => this.listOn(connection));
  }

  /// Those of one connection, in their order.
  listOn(connection: Duplex): Request[] {
    return [...(this.queues.get(connection)?.keys() ?? [])];
  }

  /// To be called for each request of a connection, in their order. Returns whether it is the first one.
  /// `removeAll` is then due at the end of the connection.
  add(request: Request, connection: Duplex): boolean {
    const known = this.queues.get(connection);
    const queue = known ?? new Map<Request, () => void>();
    queue.set(request, () => undefined);
    this.queues.set(connection, queue);
    return known === undefined;
  }

  /// Begins the turn of the next request. Returns whether `request` was open.
  remove(request: Request, connection: Duplex): boolean {
    const queue = this.queues.get(connection);
    if (queue?.delete(request) !== true) return false;
    const [beginNext] = queue.values();
    beginNext?.();
    return true;
  }

  /// Removes all requests of a connection that has ended, and returns them.
  removeAll(connection: Duplex): Request[] {
    const queue = this.queues.get(connection) ?? new Map<Request, () => void>();
    this.queues.delete(connection);
    for (const begin of queue.values()) begin();
    return [...queue.keys()];
  }

  /// Resolves when the requests before `request` have been removed, all of its connection have, or
  /// `signal` aborts.
  async wait(request: Request, connection: Duplex, signal?: AbortSignal): Promise<void> {
    const queue = this.queues.get(connection);
    if (queue?.has(request) !== true || signal?.aborted === true) return;
    const [first] = queue.keys();
    if (first === request) return;
    await new Promise<void>((resolve) => {
      queue.set(request, resolve);
      signal?.addEventListener("abort", () => {
        resolve();
      });
    });
  }
}
