//! A TCP proxy on loopback that injects a network fault, as a middlebox that loses its
//! connection state: open connections drop all bytes for good, while new connections work.
import { createServer, connect, type Socket } from "node:net";
import { once } from "node:events";

export interface LoopbackProxy {
  readonly port: number;
  /// Drops all further bytes on the connections that are open at the time of the call.
  silenceOpenConnections(): void;
  close(): Promise<void>;
}

export async function startLoopbackProxy(targetPort: number): Promise<LoopbackProxy> {
  const silencedSockets = new WeakSet<Socket>();
  const sockets = new Set<Socket>();
  const forward = (from: Socket, to: Socket): void => {
    from.on("data", (chunk: Buffer) => {
      if (!silencedSockets.has(from)) to.write(chunk);
    });
    from.on("close", () => {
      sockets.delete(from);
      if (!silencedSockets.has(from)) to.destroy();
    });
    from.on("error", () => undefined);
  };
  const server = createServer((incoming) => {
    const outgoing = connect(targetPort, "127.0.0.1");
    for (const socket of [incoming, outgoing]) sockets.add(socket);
    forward(incoming, outgoing);
    forward(outgoing, incoming);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address();
  return {
    port: typeof address === "object" && address !== null ? address.port : 0,
    silenceOpenConnections: () => {
      for (const socket of sockets) silencedSockets.add(socket);
    },
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
