//! What callers, operators and peers are told, bad input included: a golden file of each
//! request and its answer.
import { systemClock, type Logger } from "@lovagebend/common";
import { startEngine, startPlatform, startService } from "@lovagebend/stand-ins";
import { createHash } from "node:crypto";
import { connect } from "node:net";
import t from "tap";
import { parseStartUpFile, startDaemon } from "../src/index.js";

const silent: Logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
const token = "token-of-workshop-one";
const otherToken = "token-of-workshop-two";
const operatorKey = "key-of-the-operator";
const teamKey = "key-of-one-team-only";
const peerKey = "key-of-the-peers";

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

async function start() {
  const platform = await startPlatform({
    port: 0,
    writesPerSecond: 400,
    readsPerSecond: 2_000,
    weightSeconds: 0,
  });
  const ranges = [
    [0, 2],
    [2, 4],
    [4, 6],
  ] as const;
  const engines = await Promise.all(
    ranges.map(([firstLayer, endLayer], index) =>
      startEngine({
        name: `engine-${index + 1}`,
        port: 0,
        firstLayer,
        endLayer,
        layers: 6,
        tokensPerSecond: 50_000,
        checksFencing: true,
        version: "v1",
        keepsRecord: false,
      }),
    ),
  );
  const service = await startService({ name: "portal-1", port: 0 });
  const parsed = parseStartUpFile(
    JSON.stringify({
      instance: "north-a-1",
      dataCentre: "north-a",
      callers: { host: "127.0.0.1", port: 0 },
      control: { host: "127.0.0.1", port: 0 },
      platformUrl: `http://127.0.0.1:${platform.port}`,
      peers: [],
      keys: { peer: peerKey, resume: "key-for-resume-tokens" },
      operators: [
        { name: "operator", keyDigest: sha256(operatorKey), teams: ["*"] },
        { name: "team-operator", keyDigest: sha256(teamKey), teams: ["other"] },
      ],
      unreadyMilliseconds: 0,
    }),
  );
  if (parsed.isErr) throw new Error(JSON.stringify(parsed.error));
  let ids = 0;
  const createId = (): string => {
    ids += 1;
    return `id-${ids}`;
  };
  const daemon = await startDaemon(parsed.value, { clock: systemClock, logger: silent, createId });
  const place = { host: "127.0.0.1", dataCentre: "north-a", checksFencing: true };
  const targets = engines.map(({ port }, index) => [
    `engine-${index + 1}`,
    {
      kind: "engine",
      pipeline: "advice",
      ...place,
      port,
      firstLayer: ranges[index]?.[0],
      endLayer: ranges[index]?.[1],
      accelerator: "kind-1",
      tokensPerSecond: 50_000,
    },
  ]);
  const document = {
    routes: {
      advice: { kind: "model", pipeline: "advice" },
      portal: { kind: "service", service: "portal", repeatable: false },
    },
    pipelines: { advice: { layers: 6, version: "v1" } },
    targets: {
      ...(Object.fromEntries(targets) as object),
      "portal-1": { kind: "service", service: "portal", ...place, port: service.port },
    },
    workspaces: {
      one: { weight: 1, tokenDigest: sha256(token), routes: ["advice", "portal"] },
      two: { weight: 1, tokenDigest: sha256(otherToken), routes: [] },
    },
  };
  const close = async (): Promise<void> => {
    await daemon.stop();
    for (const server of [platform, service, ...engines]) await server.close();
  };
  return { daemon, document, close };
}

type Running = Awaited<ReturnType<typeof start>>;

/// Sends a request and writes it and its answer down.
class Session {
  readonly lines: string[] = [];

  async send(
    what: string,
    port: number,
    path: string,
    options: {
      method?: string;
      key?: string;
      body?: unknown;
      headers?: Record<string, string>;
    } = {},
  ): Promise<unknown> {
    const { method = "POST", key, body, headers } = options;
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, {
      method,
      headers: {
        "content-type": "application/json",
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...headers,
      },
      ...(body === undefined
        ? {}
        : { body: typeof body === "string" ? body : JSON.stringify(body) }),
    });
    const text = await answer.text();
    this.lines.push(`${what}: ${method} ${path}`, `  ${answer.status} ${normalise(text)}`);
    return text.startsWith("{") ? (JSON.parse(text) as unknown) : undefined;
  }

  get text(): string {
    return `${this.lines.join("\n")}\n`;
  }
}

function normalise(text: string): string {
  const short = text.length > 600 ? `${text.slice(0, 600)}…` : text;
  return short
    .replace(/id-\d+/g, "ID")
    .replace(/"number":\d+/g, '"number":N')
    .replace(/\d{4}-\d{2}-\d{2}T[\d:.]+Z/g, "TIME")
    .replace(/(resume_token":"ID\.\d+\.)[\w-]+/g, "$1SIGNATURE")
    .replace(/id: ID\.(\d+)\.[\w-]+/g, "id: ID.$1.SIGNATURE");
}

async function withSettings(running: Running): Promise<void> {
  const answer = await fetch(`http://127.0.0.1:${running.daemon.controlPort}/v1/settings/team`, {
    method: "PUT",
    headers: { authorization: `Bearer ${operatorKey}` },
    body: JSON.stringify({ document: running.document, baseRevision: 0 }),
  });
  if (answer.status !== 200) throw new Error(await answer.text());
  for (;;) {
    const targets = await fetch(`http://127.0.0.1:${running.daemon.controlPort}/v1/targets`, {
      headers: { authorization: `Bearer ${operatorKey}` },
    });
    const body = (await targets.json()) as { targets: { latency: number; load: unknown }[] };
    if (body.targets.length === 4) return;
  }
}

function chat(change: object = {}): object {
  return {
    model: "advice",
    messages: [{ role: "user", content: "which cloth for the hull" }],
    max_tokens: 3,
    ...change,
  };
}

t.test("a daemon answers callers, operators and peers", async (t) => {
  const running = await start();
  t.teardown(() => running.close());
  const { callerPort, controlPort } = running.daemon;

  t.test("before it has settings it is live but not ready", async (t) => {
    const session = new Session();
    await session.send("balancer", callerPort, "/healthz", { method: "GET" });
    await session.send("balancer", callerPort, "/readyz", { method: "GET" });
    await session.send("caller", callerPort, "/v1/chat/completions", { key: token, body: chat() });
    t.matchSnapshot(session.text, "session");
    await withSettings(running);
  });

  t.test("answers, streamed and whole, and resumed", async (t) => {
    const session = new Session();
    const path = "/v1/chat/completions";
    await session.send("streamed", callerPort, path, { key: token, body: chat({ stream: true }) });
    const whole = (await session.send("whole", callerPort, path, { key: token, body: chat() })) as {
      resume_token: string;
      choices: { message: { tokens: number[] } }[];
    };
    const tokens = whole.choices[0]?.message.tokens ?? [];
    const resume = { token: whole.resume_token, tokens };
    await session.send("resumed at the end", callerPort, path, {
      key: token,
      body: chat({ resume }),
    });
    const forged = { token: whole.resume_token, tokens: tokens.slice(1) };
    await session.send("forged", callerPort, path, { key: token, body: chat({ resume: forged }) });
    t.matchSnapshot(session.text, "session");
  });

  t.test("bad requests of callers", async (t) => {
    const session = new Session();
    const path = "/v1/chat/completions";
    await session.send("no token", callerPort, path, { body: chat() });
    await session.send("unknown token", callerPort, path, { key: "guess", body: chat() });
    await session.send("operator's key", callerPort, path, { key: operatorKey, body: chat() });
    await session.send("not JSON", callerPort, path, { key: token, body: "{" });
    await session.send("wrong shape", callerPort, path, { key: token, body: { model: 7 } });
    await session.send("empty prompt", callerPort, path, {
      key: token,
      body: chat({ messages: [{ role: "user", content: " " }] }),
    });
    await session.send("unknown route", callerPort, path, {
      key: token,
      body: chat({ model: "no" }),
    });
    await session.send("a service as a model", callerPort, path, {
      key: token,
      body: chat({ model: "portal" }),
    });
    await session.send("route of others", callerPort, path, { key: otherToken, body: chat() });
    await session.send("unknown path", callerPort, "/v2/anything", { key: token, body: {} });
    await session.send("too large", callerPort, path, { key: token, body: "x".repeat(1_100_000) });
    t.matchSnapshot(session.text, "session");
  });

  t.test("bookings and their keys", async (t) => {
    const session = new Session();
    const path = "/v1/services/portal/bookings";
    const keyed = (key: string) => ({ key: token, headers: { "idempotency-key": key } });
    await session.send("booked", callerPort, path, {
      ...keyed("order-1"),
      body: { item: "cedar" },
    });
    await session.send("again", callerPort, path, { ...keyed("order-1"), body: { item: "cedar" } });
    await session.send("key reused", callerPort, path, {
      ...keyed("order-1"),
      body: { item: "oak" },
    });
    await session.send("no key", callerPort, path, { key: token, body: { item: "ash" } });
    await session.send("key too long", callerPort, path, { ...keyed("k".repeat(201)), body: {} });
    await session.send("stock", callerPort, "/v1/services/portal/stock?item=cedar", {
      key: token,
      method: "GET",
    });
    await session.send("route of others", callerPort, path, { key: otherToken, body: {} });
    t.matchSnapshot(session.text, "session");
  });

  t.test("operators", async (t) => {
    const session = new Session();
    const put = (document: unknown, baseRevision: number) => ({
      method: "PUT",
      key: operatorKey,
      body: { document, baseRevision },
    });
    await session.send("no key", controlPort, "/v1/status", { method: "GET" });
    await session.send("a caller's token", controlPort, "/v1/status", {
      method: "GET",
      key: token,
    });
    await session.send("another team's subtree", controlPort, "/v1/settings/team", {
      ...put({}, 1),
      key: teamKey,
    });
    await session.send("out of date", controlPort, "/v1/settings/team", put(running.document, 0));
    await session.send("invalid", controlPort, "/v1/settings/team", put({ routes: { a: {} } }, 1));
    await session.send(
      "invalid with others",
      controlPort,
      "/v1/settings/other",
      put(running.document, 0),
    );
    await session.send("odd name", controlPort, "/v1/settings/..%2f", put({}, 0));
    await session.send("not JSON", controlPort, "/v1/settings/team", {
      method: "PUT",
      key: operatorKey,
      body: "[",
    });
    await session.send("unknown", controlPort, "/v1/nothing", { method: "GET", key: operatorKey });
    t.matchSnapshot(session.text, "session");
  });

  t.test("peers", async (t) => {
    const session = new Session();
    const call = (method: string, params: unknown) => ({ jsonrpc: "2.0", id: 1, method, params });
    await session.send("no key", controlPort, "/rpc", { body: call("gossip", { digest: {} }) });
    await session.send("operator's key", controlPort, "/rpc", {
      key: operatorKey,
      body: call("gossip", { digest: {} }),
    });
    await session.send("not a call", controlPort, "/rpc", { key: peerKey, body: { hello: 1 } });
    await session.send("unknown method", controlPort, "/rpc", {
      key: peerKey,
      body: call("drop", {}),
    });
    await session.send("settings, known", controlPort, "/rpc", {
      key: peerKey,
      body: call("settings", { since: 1 }),
    });
    t.matchSnapshot(session.text, "session");
  });

  t.test("what is not HTTP, or never ends, is cut off and disturbs nobody", async (t) => {
    const endless = rawExchange(callerPort, [
      `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${token}\r\ntransfer-encoding: chunked\r\n\r\n`,
      ...Array.from({ length: 40 }, () => `10000\r\n${"x".repeat(65_536)}\r\n`),
    ]);
    t.match(await endless, /^HTTP\/1.1 413 /);
    t.match(await rawExchange(callerPort, ["\u0000\u0001 garbage\r\n\r\n"]), /^HTTP\/1.1 400 /);
    const header = `GET /healthz HTTP/1.1\r\nhost: x\r\nlong: ${"y".repeat(20_000)}\r\n\r\n`;
    t.match(await rawExchange(callerPort, [header]), /^HTTP\/1.1 431 /);
    const session = new Session();
    await session.send("still served", callerPort, "/readyz", { method: "GET" });
    t.match(session.text, /200/);
  });
});

t.test("a start-up file with faults names each of them", (t) => {
  const parsed = parseStartUpFile(
    JSON.stringify({ instance: "North 1", keys: { peer: "short" }, peers: 3 }),
  );
  t.matchSnapshot(parsed.isErr ? parsed.error : [], "faults");
  t.end();
});

/// Writes the parts and resolves with what came back when the other side closed.
function rawExchange(port: number, parts: readonly string[]): Promise<string> {
  return new Promise((resolve) => {
    let received = "";
    const socket = connect(port, "127.0.0.1", () => {
      for (const part of parts) socket.write(part);
    });
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve(received);
    });
  });
}
