//! Tests of the end of an answer that is aborted.
import http from "node:http";
import net, { type AddressInfo, type Socket } from "node:net";
import t from "tap";
import { HttpCallerAnswer } from "../src/caller-answer.js";

// More than the buffers of a connection on the loopback interface hold.
const unreadBytes = 16 * 1024 * 1024;

function countResets(socket: Socket): () => number {
  const reset = socket.resetAndDestroy.bind(socket);
  let resets = 0;
  socket.resetAndDestroy = () => {
    // After a plain end a reset has no effect.
    if (!socket.destroyed) resets += 1;
    return reset();
  };
  return () => resets;
}

// Guards against MIXED and ORDER: an answer without a length that is aborted while its caller does
// not read ends plainly, and looks complete.
for (const bytes of [1, unreadBytes])
  t.test(`an aborted answer without a length is reset behind ${bytes} unread bytes`, async (t) => {
    const server = http.createServer();
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const caller = net.connect({
      port: (server.address() as AddressInfo).port,
      host: "127.0.0.1",
    });
    caller.on("error", () => undefined);
    caller.pause();
    t.teardown(() => {
      caller.destroy();
      server.close();
    });
    caller.write("GET / HTTP/1.0\r\nhost: a\r\n\r\n");
    const response = await new Promise<http.ServerResponse>((resolve) => {
      server.once("request", (_request, created: http.ServerResponse) => {
        resolve(created);
      });
    });
    const { socket } = response;
    if (socket === null) throw new Error("the response has no connection");
    const getResets = countResets(socket);
    const answer = new HttpCallerAnswer(
      response,
      () => performance.now(),
      () => false,
      () => undefined,
    );
    answer.begin(200, {}, { kind: "chunked" });
    answer.send(Buffer.alloc(bytes));
    const closed = new Promise((resolve) => socket.once("close", resolve));
    answer.abort("test");
    await closed;
    t.equal(getResets(), 1);
  });
