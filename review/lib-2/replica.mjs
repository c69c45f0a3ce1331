// A stand-in for a replica, as a process of its own. Its options are the first argument, in JSON:
// `id`, `service`, `card` (for an engine that holds all layers), `slots`, `workTime` before an answer,
// `unframedEvery` (each attempt whose number it divides gets an answer without a length, which ends
// with its connection), `bodyLength`, `halfTime` between the two halves of a body, `events`,
// `eventPause` of a stream, `drainTime` from SIGTERM to the exit, `garbledEvery` (each attempt whose
// number it divides gets wrong bytes, which name neither the attempt nor the replica). Both end 5 s
// after the first request. After SIGTERM
// all answers say `Server-Leaving: 1`.
import http from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, unframedEvery = Infinity, workTime = 0, bodyLength = 800, halfTime = 0 } = options;
const { events = 40, eventPause = 50, drainTime, garbledEvery = Infinity } = options;
const memoryTokens = 69_791;
const oddTime = 5_000;
const born = Date.now();
const sleep = (time) => new Promise((resolve) => setTimeout(resolve, time));
const print = (line) => process.stdout.write(`${JSON.stringify(line)}\n`);
let isLeaving = false;
let firstRequestAt;
let running = 0;

const server = http.createServer((request, response) => {
  handle(request, response).catch(() => response.destroy());
});

async function handle(request, response) {
  let isRead = false;
  request.on("end", () => (isRead = true)).resume();
  while (!isRead && !response.destroyed) await sleep(1);
  const path = request.url;
  if (path === "/report") {
    const layers = { from: 0, target: 80, version: 1 };
    const models = [{ name: "daka510000", version: 1, adapters: [] }];
    const report = { stage: "both", models, busy: false, seq_no: 0, queued: 0, active: running };
    const counts = { kv_used: 0, kv_total: 5_000_000, handles: 0, pace: 1, born, layers };
    const body = JSON.stringify({ ...report, ...counts, stalled: [] });
    response.writeHead(200, { "content-type": "application/json" }).end(body);
    return;
  }
  const attempt = request.headers["attempt-id"];
  const answer = (status, headers, body) =>
    response.writeHead(status, { "content-length": Buffer.byteLength(body), ...headers }).end(body);
  if (path === "/order") return answer(409, {}, "{}");
  if (attempt === undefined) return answer(400, { "not-executed": "1" }, "");
  const expected = request.headers["expect-instance"];
  if (expected !== undefined && expected !== id) return answer(421, { "not-executed": "1" }, "");
  // A request that is larger than the memory is rejected as if the replica were full.
  const tokens = String(request.headers["token-count"] ?? "0")
    .split(",")
    .map(Number);
  if (tokens[0] + (tokens[1] ?? 0) > memoryTokens) return answer(503, refusal(attempt), "");
  running += 1;
  firstRequestAt ??= performance.now();
  print({ event: "runs", attempt, path, leaving: isLeaving });
  await sleep(workTime);
  const headers = {
    "attempt-id": attempt,
    "server-stamp": `3e1b.07.${id}.${born}`,
    "server-load": `${running},0,${options.slots}`,
    "instance-id": id,
    ...(isLeaving ? { "server-leaving": "1" } : {}),
  };
  const number = Number(/\d+$/.exec(attempt)?.[0]);
  if (isOddTime() && number % garbledEvery === 0) {
    print({ event: "wrong bytes", attempt });
    const bytes = Buffer.alloc(bodyLength, "\u0007garbage ");
    response.socket.end(
      `HTTP/1.1 200 OK\r\nContent-Length: ${bytes.length}\r\n\r\n${bytes.toString()}`,
    );
  } else if (path.startsWith("/advice/")) await sendStream(request, response, headers, attempt);
  else await sendBody(response, headers, attempt);
  running -= 1;
}

function isOddTime() {
  return performance.now() - firstRequestAt < oddTime;
}

function refusal(attempt) {
  return {
    "attempt-id": attempt,
    "not-executed": "1",
    "at-server": `127.0.0.1:${server.address().port}`,
  };
}

async function sendBody(response, headers, attempt) {
  const body = "x".repeat(bodyLength - 1) + "\n";
  const half = Math.floor(bodyLength / 2);
  begin(response, { ...headers, "content-type": "text/plain" }, attempt, bodyLength);
  response.write(body.slice(0, half));
  print({ event: "half sent", attempt });
  if (halfTime > 0) await sleep(halfTime);
  response.end(body.slice(half));
  print({ event: "whole sent", attempt, bytes: bodyLength });
}

// A stream that was broken off goes on after the last event that its caller has.
async function sendStream(request, response, headers, attempt) {
  const first = 1 + Number(request.headers["last-event-id"] ?? 0);
  begin(response, { ...headers, "content-type": "text/event-stream" }, attempt);
  for (let number = first; number <= events && !response.destroyed; number += 1) {
    response.write(`id: ${number}\ndata: token-${number}\n\n`);
    if (number < events) await sleep(eventPause);
  }
  response.end();
  if (!response.destroyed) print({ event: "whole sent", attempt, events });
}

function begin(response, headers, attempt, length) {
  const number = Number(/\d+$/.exec(attempt)?.[0]);
  if (!isOddTime() || number % unframedEvery !== 0) {
    response.writeHead(
      200,
      length === undefined ? headers : { "content-length": length, ...headers },
    );
    return;
  }
  // The end of the connection is the end of the answer.
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, headers);
}

process.on("SIGTERM", () => {
  isLeaving = true;
  print({ event: "leaving" });
  setTimeout(() => {
    print({ event: "exit", running });
    process.exit(0);
  }, drainTime);
});

server.keepAliveTimeout = 10_000;
server.listen(0, "127.0.0.1", () => print({ event: "listens", port: server.address().port, born }));
