//! The turns of the requests of one connection. An answer may end the connection. No target may run a
//! request behind it, whose answer could not be sent any more.
import { ErrorKind, RequestTurns, RouterError, RunState } from "@lovagebend/common";
import type http from "node:http";

export class ConnectionTurns {
  private readonly turns = new RequestTurns<http.ServerResponse>();

  /// Queues the request of `response`. To be called for each request of a connection, in their order.
  add(response: http.ServerResponse): void {
    const { socket } = response.req;
    if (this.turns.add(response, socket))
      socket.once("close", () => {
        this.turns.removeAll(socket);
      });
    response.once("finish", () => {
      this.turns.remove(response, socket);
    });
  }

  /// Resolves when the requests before that of `response` have been answered. Throws a `RouterError` if
  /// their connection has ended by then.
  async wait(response: http.ServerResponse): Promise<void> {
    const { socket } = response.req;
    if (!socket.destroyed) await this.turns.wait(response, socket);
    if (socket.destroyed || socket.writableEnded)
      throw new RouterError(ErrorKind.ConnectionEnding, RunState.NotRun);
  }
}
