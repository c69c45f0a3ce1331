// A TCP proxy in front of the store. It can let connections go silent for good: they stay open,
// and no byte passes any more. New connections work.
import net from "node:net";

export class StoreProxy {
  connections = new Set();

  constructor(store) {
    this.store = store;
    this.server = net.createServer({ noDelay: true }, (downstream) => {
      this.accept(downstream);
    });
  }

  listen() {
    return new Promise((resolve) => {
      this.server.listen(0, "127.0.0.1", () => {
        this.port = this.server.address().port;
        resolve();
      });
    });
  }

  /// The times since the open polls for changes of `table` began, in milliseconds.
  listPollAges(table) {
    return [...this.connections]
      .filter(
        ({ isSilent, request }) => !isSilent && request.includes(`/rows-feed?table=${table}&`),
      )
      .map(({ lastByteAt }) => performance.now() - lastByteAt);
  }

  /// Silences the open connections on which no byte has passed for `idleTime` milliseconds.
  /// Returns their requests.
  silenceIdle(idleTime) {
    const idle = [...this.connections].filter(
      ({ lastByteAt }) => performance.now() - lastByteAt >= idleTime,
    );
    for (const connection of idle) connection.isSilent = true;
    return idle.map(({ request }) => request);
  }

  accept(downstream) {
    const upstream = net.connect({ port: this.store.port, host: "127.0.0.1", noDelay: true });
    const connection = { isSilent: false, lastByteAt: performance.now(), request: "" };
    this.connections.add(connection);
    const forward = (from, to, isRequest) => {
      from.on("data", (bytes) => {
        if (connection.isSilent) return;
        connection.lastByteAt = performance.now();
        if (isRequest) connection.request = bytes.toString("latin1").split("\r\n")[0];
        to.write(bytes);
      });
      from.on("error", () => to.destroy());
      from.on("close", () => {
        this.connections.delete(connection);
        if (!connection.isSilent || isRequest) to.destroySoon();
      });
    };
    forward(downstream, upstream, true);
    forward(upstream, downstream, false);
  }

  close() {
    this.server.close();
    for (const connection of this.connections) connection.isSilent = true;
  }
}
