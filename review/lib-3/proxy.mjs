// A proxy on loopback between an entry VM and the store. It can lose track of open connections: these carry
// no more bytes and are not closed, while new ones work.
import net from "node:net";

export class Proxy {
  links = new Set();
  server = net.createServer({ noDelay: true, allowHalfOpen: true }, (downstream) => {
    this.accept(downstream);
  });

  constructor(upstreamPort) {
    this.upstreamPort = upstreamPort;
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return this.server.address().port;
  }

  /// Loses the open connections that have carried nothing for `idleMilliseconds`. Returns their number and
  /// that of the others.
  loseIdle(idleMilliseconds) {
    const now = performance.now();
    const open = [...this.links].filter(({ isSilent }) => !isSilent);
    const idle = open.filter(({ usedAt }) => now - usedAt >= idleMilliseconds);
    for (const link of idle) link.isSilent = true;
    return { lost: idle.length, kept: open.length - idle.length };
  }

  close() {
    this.server.close();
    for (const { downstream, upstream } of this.links) {
      downstream.destroy();
      upstream.destroy();
    }
  }

  accept(downstream) {
    const upstream = net.connect({
      port: this.upstreamPort,
      host: "127.0.0.1",
      noDelay: true,
      allowHalfOpen: true,
    });
    const link = { downstream, upstream, usedAt: performance.now(), isSilent: false };
    this.links.add(link);
    const forward = (from, to) => {
      from.on("data", (bytes) => {
        if (link.isSilent) return;
        link.usedAt = performance.now();
        to.write(bytes);
      });
      from.on("end", () => {
        if (!link.isSilent) to.end();
      });
      from.on("error", () => {
        if (!link.isSilent) to.destroy();
      });
      from.on("close", () => {
        if (!link.isSilent) to.destroy();
        if (downstream.destroyed && upstream.destroyed) this.links.delete(link);
      });
    };
    forward(downstream, upstream);
    forward(upstream, downstream);
  }
}
