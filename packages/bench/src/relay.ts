//! A relay on loopback that can lose track of its connections: those that are open go
//! silent for good, while new ones work.
import { createServer, connect, type Socket } from "node:net";
import { once } from "node:events";

export interface Relay {
  readonly port: number;
  /// Forwards nothing more on the connections that are open now.
  silenceOpen(): void;
  close(): Promise<void>;
}

export async function startRelay(targetPort: number): Promise<Relay> {
  const silenced = new WeakSet<Socket>();
  const sockets = new Set<Socket>();
  const forward = (from: Socket, to: Socket): void => {
    from.on("data", (chunk: Buffer) => {
      if (!silenced.has(from)) to.write(chunk);
    });
    from.on("close", () => {
      sockets.delete(from);
      if (!silenced.has(from)) to.destroy();
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
    silenceOpen: () => {
      for (const socket of sockets) silenced.add(socket);
    },
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
