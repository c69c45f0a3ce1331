//! The ports of test deployments stay free until they are used, whatever else runs.
import { readFileSync } from "node:fs";
import { once } from "node:events";
import net from "node:net";
import t from "tap";
import { reservePorts } from "../src/index.js";

// Guards against EADDRINUSE in a test: a listener on port 0 of a concurrent test file took the port
// between its choice and its use.
t.test("reserved ports are outside the range of ports that the system assigns", async (t) => {
  const range = readFileSync("/proc/sys/net/ipv4/ip_local_port_range", "utf8");
  const [first = 0, last = 0] = range.trim().split(/\s+/).map(Number);
  const ports = await reservePorts(20);
  t.strictSame(
    ports.filter((port) => port >= first && port <= last),
    [],
  );
});

t.test("reserved ports differ and can be bound", async (t) => {
  const ports = await reservePorts(50);
  t.equal(new Set(ports).size, 50);
  const servers = ports.map((port) => net.createServer().listen(port, "127.0.0.1"));
  await Promise.all(servers.map((server) => once(server, "listening")));
  for (const server of servers) server.close();
});

t.test("a port in use is passed over", async (t) => {
  const [port = 0] = await reservePorts(1);
  const server = net.createServer().listen(port + 1, "127.0.0.1");
  await once(server, "listening");
  t.notSame(await reservePorts(1), [port + 1]);
  server.close();
});
