//! Loopback ports for test deployments, reserved across the processes of a test run.
import { createServer, type Server } from "node:net";

// Below the range from which the system assigns ports to listeners on port 0 and to outgoing
// connections. Any of these may take a port before it is used.
const firstPort = 20_000;
const endPort = 32_000;
const host = "127.0.0.1";
// A listener at this address reserves the port of the same number at `host`.
const reservationHost = "127.0.0.2";

const reservations: Server[] = [];
let nextPort = firstPort + Math.floor(Math.random() * (endPort - firstPort));

/// Returns `count` ports that are free at 127.0.0.1. No other call of this function returns them
/// in any process until this process ends.
export async function reservePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried === endPort - firstPort)
      throw new Error(`no free port between ${firstPort} and ${endPort - 1}`);
    const port = nextPort;
    nextPort = port + 1 === endPort ? firstPort : port + 1;
    const reservation = await tryListen(port, reservationHost);
    if (reservation === undefined) continue;
    const probe = await tryListen(port, host);
    if (probe === undefined) {
      reservation.close();
      continue;
    }
    await new Promise((resolve) => probe.close(resolve));
    reservations.push(reservation);
    ports.push(port);
  }
  return ports;
}

// Resolves with `undefined` if the port is in use. The server does not keep the process alive.
function tryListen(port: number, address: string): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve(undefined);
      else reject(error);
    });
    server.listen(port, address, () => {
      server.unref();
      resolve(server);
    });
  });
}
