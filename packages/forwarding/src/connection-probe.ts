//! A connection that is opened only to see whether it can be, and closed at once.
import type { Milliseconds } from "@lovagebend/common";
import net from "node:net";

export enum ProbeResult {
  Connected = "connected",
  /// The other side, or the network, answered that there is no connection.
  Refused = "refused",
  Silent = "silent",
}

// A connection within a region takes a few milliseconds.
const probeTimeout: Milliseconds = 150;

/// Tries to connect to `host` and `port`. Never rejects.
export function probeConnection(host: string, port: number): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port });
    const finish = (result: ProbeResult): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    // In a process that stood still, the connection may be there and not yet be read.
    const timer = setTimeout(() => {
      setImmediate(() => {
        setImmediate(() => {
          finish(ProbeResult.Silent);
        });
      });
    }, probeTimeout);
    socket.once("connect", () => {
      finish(ProbeResult.Connected);
    });
    socket.once("error", () => {
      finish(ProbeResult.Refused);
    });
  });
}
