//! Tests of the forwarded headers, the splitting of event streams, and exchanges with targets
//! that send invalid, late or incomplete answers.
import { MessageBody } from "@lovagebend/common";
import net from "node:net";
import type { AddressInfo } from "node:net";
import t from "tap";
import {
  AnswerMemory,
  ConnectionKind,
  ExchangeResult,
  responseHeaders,
  EventSplitter,
  requestHeaders,
  readBody,
  sendToTarget,
  TargetConnections,
  type HeaderNames,
  type TargetRequest,
} from "../src/index.js";

const headerNames: HeaderNames = {
  requestId: "request-id",
  receipt: "receipt",
  deadline: "deadline",
  apiKey: "key",
  workspace: "workspace",
  expectedTarget: "expected-target",
  path: "path",
  priority: "priority",
  notRun: "not-run",
  faultyTarget: "faulty-target",
  lastEventId: "last-event",
  load: "load",
  tokenCounts: "tokens",
  promptParts: "prompt-parts",
  leaving: "server-leaving",
  requestLimit: "request-limit",
};

function buildHeaders(rawHeaders: readonly string[], body = "", method = "POST") {
  return requestHeaders(
    { id: "r", method, path: "/", rawHeaders, body: MessageBody.of(Buffer.from(body)) },
    { deadline: 120.9, expectedTarget: "t", workspace: "guild" },
    headerNames,
  );
}

t.test("the key is not forwarded, and the router's headers replace those of the caller", (t) => {
  const headers = buildHeaders([
    "Key",
    "secret",
    "Workspace",
    "forged",
    "Path",
    "forged",
    "Expected-Target",
    "x",
  ]);
  t.same(headers, {
    deadline: "120",
    "expected-target": "t",
    workspace: "guild",
    "content-length": "0",
  });
  t.end();
});

t.test("hop-by-hop headers are not forwarded, nor headers that Connection lists", (t) => {
  const headers = buildHeaders([
    "Connection",
    "close, X-Hop",
    "X-Hop",
    "1",
    "Transfer-Encoding",
    "chunked",
    "X-Kept",
    "a",
    "X-Kept",
    "b",
  ]);
  t.same(headers["x-kept"], ["a", "b"]);
  for (const name of ["connection", "x-hop", "transfer-encoding"]) t.notOk(name in headers, name);
  t.end();
});

t.test("content-length is the size of the body, whatever length the caller declared", (t) => {
  t.equal(buildHeaders(["Content-Length", "99"], "abc")["content-length"], "3");
  t.notOk("content-length" in buildHeaders([], "", "GET"));
  t.same(responseHeaders(["Content-Length", "5", "Server-Stamp", "s"]), { "server-stamp": "s" });
  t.end();
});

t.test("the splitter returns only complete events, with the identifier of the last", (t) => {
  const splitter = new EventSplitter(100);
  const push = (chunk: string) => {
    const { bytes, count, lastEventId } = splitter.push(Buffer.from(chunk));
    return [bytes.toString(), count, lastEventId];
  };
  t.same(push("id: 1\nda"), ["", 0, undefined]);
  t.same(push("ta: a\n"), ["", 0, undefined]);
  t.same(push("\nid: 2\ndata: b\n\nid: 3"), ["id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, "2"]);
  t.equal(splitter.pendingBytes, 5);
  t.same(push("\r\ndata: c\r\n\r\n"), ["id: 3\r\ndata: c\r\n\r\n", 1, "3"]);
  t.equal(splitter.pendingBytes, 0);
  t.end();
});

// Guards against ORDER: a stream is resumed before an event that has been sent on, since a comment
// follows the event in the same chunk.
t.test("the last identifier is that of the last event that has one", (t) => {
  const splitter = new EventSplitter(1_000);
  const first = splitter.push(Buffer.from("id: 4\ndata: a\n\nid: 5\ndata: b\n\n:\n\n"));
  t.equal(first.lastEventId, "5");
  t.equal(splitter.push(Buffer.from(":\n\n")).lastEventId, undefined);
  t.equal(splitter.push(Buffer.from("data: c\nid:6\r\n\n")).lastEventId, "6");
  t.end();
});

t.test("an event without an end that exceeds the maximum size is reported", (t) => {
  const splitter = new EventSplitter(100);
  splitter.push(Buffer.alloc(101, "x"));
  t.equal(splitter.hasOversizedEvent, true);
  t.end();
});

// Guards against MIXED: the end of an event whose beginning was dropped looks like an event.
t.test(
  "nothing behind the beginning of an event that exceeds the maximum size is returned",
  (t) => {
    const splitter = new EventSplitter(100);
    const first = splitter.push(Buffer.from(`id: 1\ndata: a\n\ndata: ${"x".repeat(100)}`));
    t.equal(first.bytes.toString(), "id: 1\ndata: a\n\n");
    for (const chunk of ["x\n\n", "id: 2\ndata: b\n\n", "id: 3\n"])
      t.equal(splitter.push(Buffer.from(chunk)).count, 0);
    t.ok(splitter.hasOversizedEvent);
    t.ok(splitter.pendingBytes > 0, "the stream is not at the end of an event");
    t.end();
  },
);

t.test("events are split alike, whatever the sizes of the chunks", (t) => {
  const stream = "\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\n\ndata: c\n\nid: 3";
  for (let size = 1; size <= stream.length; size += 1) {
    const splitter = new EventSplitter(100);
    const pushed: string[] = [];
    let count = 0;
    for (let start = 0; start < stream.length; start += size) {
      const events = splitter.push(Buffer.from(stream.slice(start, start + size)));
      pushed.push(events.bytes.toString());
      count += events.count;
    }
    t.equal(pushed.join(""), stream.slice(0, -"id: 3".length), `chunks of ${size}`);
    t.equal(count, 4);
    t.equal(splitter.pendingBytes, "id: 3".length);
  }
  t.end();
});

t.test("the largest answer is given up when all together exceed the maximum", (t) => {
  const memory = new AnswerMemory(100_000);
  const evicted: string[] = [];
  const open = (name: string) => {
    const share = memory.open(() => {
      evicted.push(name);
      share.release();
    });
    return share;
  };
  const [small, large] = [open("small"), open("large")];
  small.add(Buffer.alloc(20_000));
  large.add(Buffer.alloc(60_000));
  t.same(evicted, []);
  small.add(Buffer.alloc(20_000));
  t.same(evicted, ["large"]);
  large.add(Buffer.alloc(60_000));
  small.release();
  const next = open("next");
  next.add(Buffer.alloc(98_000));
  t.same(evicted, ["large"], "released memory is available again");
  for (let count = 0; count < 4; count += 1) next.add(Buffer.alloc(1));
  t.same(evicted, ["large", "next"], "small chunks count with their overhead");
  t.end();
});

// A target on a raw socket, for answers that an HTTP server would not send.
async function startRawTarget(onData: (socket: net.Socket, requestNumber: number) => void) {
  let requestCount = 0;
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => {
      requestCount += 1;
      onData(socket, requestCount);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const connections = new TargetConnections();
  t.teardown(() => {
    connections.close();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const send = (id: string, overrides: Partial<TargetRequest> = {}) =>
    sendToTarget(
      {
        id,
        service: "s",
        host: "127.0.0.1",
        port,
        method: "GET",
        path: "/",
        headers: {},
        body: MessageBody.of(Buffer.alloc(0)),
        requiresNewConnection: false,
        isRetryable: false,
        timeLeft: 5_000,
        signal: new AbortController().signal,
        ...overrides,
      },
      connections,
      headerNames,
    );
  return { send, connections, server };
}

function formatResponse(id: string, body: string): string {
  const head = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nreceipt: s\r\n`;
  return `${head}content-length: ${body.length}\r\n\r\n${body}`;
}

t.test("an answer to another request is rejected", async (t) => {
  const { send } = await startRawTarget((socket) =>
    socket.write(formatResponse("other", "theirs")),
  );
  const reason = "the answer belongs to another request";
  t.same(await send("mine"), { kind: "unknown", reason, connection: ConnectionKind.New });
});

// Guards against MIXED: each of these heads was taken for the answer to the request.
for (const [head, reason] of [
  ["200 OK\r\n", "the answer names no request"],
  ["200 OK\r\nrequest-id: r\r\n", "the success has no receipt of its target"],
  ["200 OK\r\nrequest-id: r\r\nreceipt:\r\n", "the success has no receipt of its target"],
  ["299 Fine\r\nrequest-id: r\r\n", "the success has no receipt of its target"],
  ["503 Full\r\n", "the answer names no request"],
  ["421 Misdirected\r\n", "the answer names no request"],
  ["500 Failed\r\n", "the answer names no request"],
  ["200 OK\r\nrequest-id:\r\nreceipt: s\r\n", "the answer belongs to another request"],
  ["200 OK\r\nrequest-id: r, r\r\nreceipt: s\r\n", "the answer belongs to another request"],
] as const)
  t.test(`${JSON.stringify(head)} is no answer to the request`, async (t) => {
    const { send } = await startRawTarget((socket) =>
      socket.write(`HTTP/1.1 ${head}content-length: 0\r\n\r\n`),
    );
    t.same(await send("r"), { kind: "unknown", reason, connection: ConnectionKind.New });
  });

t.test("failures and refusals need no receipt", async (t) => {
  for (const [head, isNotRun] of [
    ["500 Failed\r\nrequest-id: r\r\n", false],
    ["404 Unknown\r\nrequest-id: r\r\n", false],
    ["421 Misdirected\r\nrequest-id: r\r\n", true],
    ["503 Full\r\nrequest-id: r\r\nnot-run: 1\r\n", true],
    ["503 Full\r\nnot-run: 1\r\n", true],
  ] as const) {
    const { send } = await startRawTarget((socket) =>
      socket.write(`HTTP/1.1 ${head}content-length: 0\r\n\r\n`),
    );
    const outcome = await send("r");
    if (outcome.kind !== "answered") throw new Error(`${head}: ${outcome.reason}`);
    t.equal(outcome.response.isNotRun, isNotRun, head);
  }
});

t.test("a late second answer is not read as the answer to the next request", async (t) => {
  const { send } = await startRawTarget((socket, index) => {
    socket.write(formatResponse(`r${index}`, `body-${index}`));
    if (index === 1) setImmediate(() => socket.write(formatResponse("r1", "late")));
  });
  const first = await send("r1");
  if (first.kind !== "answered") throw new Error("not answered");
  t.same(
    (await readBody(first.response, new AnswerMemory(1_000_000)))
      .unwrapOr(Buffer.alloc(0))
      .toString(),
    "body-1",
  );
  await new Promise((resolve) => setTimeout(resolve, 30));
  const second = await send("r2");
  if (second.kind !== "answered") throw new Error(second.reason);
  t.same(
    (await readBody(second.response, new AnswerMemory(1_000_000)))
      .unwrapOr(Buffer.alloc(0))
      .toString(),
    "body-2",
  );
});

t.test("an answer that is shorter than its content-length is an error", async (t) => {
  const { send } = await startRawTarget((socket) => {
    socket.end("HTTP/1.1 200 OK\r\nrequest-id: r\r\nreceipt: s\r\ncontent-length: 50\r\n\r\nshort");
  });
  const outcome = await send("r");
  if (outcome.kind !== "answered") throw new Error(outcome.reason);
  t.equal((await readBody(outcome.response, new AnswerMemory(1_000_000))).isErr, true);
});

t.test(
  "an answer without a length is complete if its connection closes, an error if it is reset",
  async (t) => {
    const { send } = await startRawTarget((socket, index) => {
      const head = "HTTP/1.1 200 OK\r\nrequest-id: r\r\nreceipt: s\r\nconnection: close\r\n\r\n";
      socket.write(`${head}unframed`);
      setTimeout(() => (index === 1 ? socket.end() : socket.resetAndDestroy()), 10);
    });
    const ended = await send("r");
    if (ended.kind !== "answered") throw new Error(ended.reason);
    t.equal(ended.response.isDelimited, false, "the end of the answer is not marked");
    t.equal(
      (await readBody(ended.response, new AnswerMemory(1_000_000)))
        .unwrapOr(Buffer.alloc(0))
        .toString(),
      "unframed",
    );
    const reset = await send("r");
    if (reset.kind !== "answered") throw new Error(reset.reason);
    t.equal((await readBody(reset.response, new AnswerMemory(1_000_000))).isErr, true);
  },
);

t.test("a refused connection proves that the request was not sent; a reset does not", async (t) => {
  const { send, server } = await startRawTarget((socket) => socket.resetAndDestroy());
  t.equal((await send("r")).kind, "unknown");
  await new Promise((resolve) => server.close(resolve));
  t.equal((await send("r")).kind, "notSent");
});

// Guards against links that are lost unseen: a failure on a kept connection looked like one on a new
// connection, and a target that refuses like one that is silent.
t.test("each exchange is reported once, with its connection and its result", async (t) => {
  const { send, connections, server } = await startRawTarget((socket, requestNumber) => {
    if (requestNumber <= 2) socket.write(formatResponse(`answered-${requestNumber}`, "body"));
    if (requestNumber === 3) socket.resetAndDestroy();
    if (requestNumber === 4) socket.write("no HTTP\r\n\r\n");
  });
  const reports: string[] = [];
  connections.onExchange = ({ service, connection, result }) => {
    reports.push(`${service} ${connection} ${result}`);
  };
  const cancellation = new AbortController();
  for (const number of [1, 2]) {
    const outcome = await send(`answered-${number}`);
    if (outcome.kind !== "answered") throw new Error(outcome.reason);
    await readBody(outcome.response, new AnswerMemory(1_000_000));
    // The connection is kept once the answer's end has been handled.
    await new Promise(setImmediate);
  }
  t.match(await send("reset"), { kind: "unknown", connection: ConnectionKind.Kept });
  await send("invalid");
  await send("silent", { timeLeft: 20 });
  setTimeout(() => {
    cancellation.abort();
  }, 20);
  await send("cancelled", { signal: cancellation.signal });
  await new Promise((resolve) => server.close(resolve));
  t.match(await send("refused"), { kind: "notSent", connection: ConnectionKind.New });
  await send("no address", { port: 99_999 });
  t.strictSame(reports, [
    `s new ${ExchangeResult.Answered}`,
    `s kept ${ExchangeResult.Answered}`,
    `s kept ${ExchangeResult.EndedWithoutAnswer}`,
    `s new ${ExchangeResult.InvalidAnswer}`,
    `s new ${ExchangeResult.DeadlinePassed}`,
    `s new ${ExchangeResult.Cancelled}`,
    `s new ${ExchangeResult.ConnectionRefused}`,
    `s new ${ExchangeResult.NotConnected}`,
  ]);
});

t.test("a response that is not HTTP leaves the outcome unknown", async (t) => {
  const { send } = await startRawTarget((socket) => socket.end("garbage\r\n\r\n"));
  t.equal((await send("r")).kind, "unknown");
});

// Guards against an exception for a target whose address or name Node does not accept.
// Guards against a target that keeps an entry VM busy until the deadline: Node's client reads blank
// lines before a head without a limit.
t.test("blank lines without end before the head end the exchange", async (t) => {
  const { send } = await startRawTarget((socket) => {
    const sendLines = (): void => {
      if (!socket.destroyed) socket.write("\r\n".repeat(10_000), () => setImmediate(sendLines));
    };
    sendLines();
  });
  t.match(await send("mine"), { kind: "unknown", reason: /bytes before the head of an answer/ });
});

t.test("a large body in the first chunk of an answer does not count as its head", async (t) => {
  const body = "x".repeat(100_000);
  const { send } = await startRawTarget((socket) => socket.write(formatResponse("mine", body)));
  const outcome = await send("mine");
  if (outcome.kind !== "answered") throw new Error(outcome.kind);
  const read = await readBody(outcome.response, new AnswerMemory(1_000_000));
  t.equal(read.unwrapOr(Buffer.alloc(0)).length, body.length);
});

t.test("a request that cannot be built is reported as not sent", async (t) => {
  const { send } = await startRawTarget(() => undefined);
  t.equal((await send("a", { port: 99_999 })).kind, "notSent");
  t.equal((await send("b", { headers: { "expect-target": "a\nb" } })).kind, "notSent");
});
