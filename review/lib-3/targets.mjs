// Stand-ins of replicas: one of a plain service, and an engine that holds a range of a model's layers.
import http from "node:http";
import { drainMilliseconds, sleep, zone } from "./case.mjs";

export const layerCount = 80;
export const layerMegabytes = 1_750;
export const card = { name: "a100s", size_mb: 36_000, pace: 3.1, read_factor: 3.2 };

class Target {
  state = "ready";
  hasEnded = false;
  born = Date.now();
  sequence = 0;
  requests = [];
  server = http.createServer((request, response) => {
    void this.receive(request, response).catch(() => request.socket.destroy());
  });

  constructor(deployment, id, service) {
    Object.assign(this, { deployment, id, service });
    this.server.keepAliveTimeout = 6_000;
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.deployment.addTarget(this);
    this.publish();
    return this;
  }

  publish() {
    this.sequence += 1;
    const { service, address, state, born, sequence: seq_no } = this;
    const entry = { service, address, zone, version: "1", slots: 134, state, cold_left_ms: 0 };
    this.deployment.store.put("servers", this.id, { ...entry, seq_no, born, ...this.describe() });
  }

  describe() {
    return {};
  }

  /// Ends the process: its connections are reset, and nothing listens on its address.
  end() {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.server.close();
    for (const socket of this.sockets ?? []) socket.resetAndDestroy();
  }

  close() {
    this.hasEnded = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  async receive(request, response) {
    this.sockets ??= new Set();
    if (!this.sockets.has(request.socket)) {
      this.sockets.add(request.socket);
      request.socket.once("close", () => this.sockets.delete(request.socket));
    }
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.hasEnded) return;
    const body = Buffer.concat(chunks).toString();
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.refuse(request, response, 421);
      return;
    }
    await this.handle(request, response, body);
  }

  refuse(request, response, status, headers = {}) {
    response.writeHead(status, {
      "attempt-id": request.headers["attempt-id"] ?? "",
      "not-executed": "1",
      "content-length": 0,
      ...this.leavingHeaders(),
      ...headers,
    });
    response.end();
  }

  leavingHeaders() {
    return this.isLeaving ? { "server-leaving": "1", connection: "close" } : {};
  }

  answerHeaders(request) {
    return {
      "attempt-id": request.headers["attempt-id"],
      "server-stamp": `stamp.${this.id}.${request.headers["attempt-id"]}`,
      ...this.leavingHeaders(),
    };
  }
}

/// A replica of a plain service, which takes `workMilliseconds` for each request.
export class Replica extends Target {
  workMilliseconds = 85;

  async handle(request, response) {
    const id = request.headers["attempt-id"];
    if (id === undefined) {
      response.writeHead(this.state === "ready" ? 200 : 503, { "instance-id": this.id }).end();
      return;
    }
    const received = { id, at: performance.now(), outcome: "running" };
    this.requests.push(received);
    response.once("close", () => {
      if (received.outcome === "running") received.outcome = "broken off";
    });
    await sleep(this.workMilliseconds);
    if (this.hasEnded || response.destroyed) return;
    received.outcome = "answered";
    response.writeHead(200, this.answerHeaders(request)).end(`answer to ${id}`);
  }
}

/// A token of a stream is what the layers make of its number, one after the other.
export function computeToken(number, ranges) {
  let value = number;
  for (const { first, end } of ranges)
    for (let layer = first; layer < end; layer += 1)
      value = (Math.imul(value, 31) + layer + 1) >>> 0;
  return value.toString(16);
}

export const wholeModel = [{ first: 0, end: layerCount }];

/// An engine. `runs` lists the requests whose first part it has run, with their paths.
export class Engine extends Target {
  layers = null;
  orders = 0;
  isBusy = false;
  runs = [];
  open = new Map();
  eventCount = 40;
  eventPause = 40;
  firstEventAfter = 30;
  loadMilliseconds = 1_000;
  /// Called for each request that begins to run. May end the engine, have the answer lost, or have it
  /// broken off after a quarter of its events.
  onRun = () => undefined;

  describe() {
    return { route_kind: card.name, layers: this.layers, stage: "both", models: this.models() };
  }

  models() {
    return [{ name: "m0", version: 1, adapters: [] }];
  }

  async handle(request, response, body) {
    switch (request.url) {
      case "/report":
        this.report(response);
        return;
      case "/order":
        this.order(JSON.parse(body), response);
        return;
      case "/healthz":
        response.writeHead(this.state === "ready" ? 200 : 503, { "instance-id": this.id }).end();
        return;
      default:
        await this.run(request, response);
    }
  }

  report(response) {
    const { born, isBusy: busy, orders: seq_no, layers } = this;
    const counts = { queued: 0, active: this.open.size, kv_used: 0, kv_total: 1e6, handles: 0 };
    const kinds = { stage: "both", models: this.models(), route_kind: card.name, pace: 1 };
    const report = { ...kinds, busy, seq_no, ...counts, born, layers, stalled: [] };
    response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(report));
  }

  order(order, response) {
    const send = (status, body = {}) =>
      response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    if (order.op === "repath") {
      this.repath(order, send);
      return;
    }
    if (order.op !== "place") {
      send(400);
      return;
    }
    const { from, target } = order;
    if (order.expected_rev !== undefined && order.expected_rev !== this.orders) {
      send(409);
      return;
    }
    if (this.isBusy) {
      send(409);
      return;
    }
    if (this.layers?.from === from && this.layers.target === target) {
      send(200);
      return;
    }
    this.orders += 1;
    this.isBusy = true;
    send(202);
    void this.load({ from, target });
  }

  async load(layers) {
    await sleep((this.loadMilliseconds * (layers.target - layers.from)) / layerCount);
    if (this.hasEnded) return;
    this.isBusy = false;
    this.layers = layers;
    if (!this.isUnlisted) this.publish();
  }

  repath({ id, path }, send) {
    const open = this.open.get(id);
    if (open === undefined) {
      send(404);
      return;
    }
    const parts = parseHops(path);
    const missing = parts.find((part) => !this.findPeer(part)?.holds(part));
    if (missing !== undefined) {
      send(409, { address: missing.address });
      return;
    }
    open.parts = parts;
    this.runs.push({ id, at: performance.now(), hops: path, parts });
    send(200);
  }

  holds({ first, end }) {
    const { layers } = this;
    return !this.hasEnded && layers !== null && layers.from <= first && end <= layers.target;
  }

  findPeer({ address }) {
    for (const target of this.deployment.targets)
      if (target.address === address && !target.hasEnded) return target;
    return undefined;
  }

  async run(request, response) {
    const { headers } = request;
    const id = headers["attempt-id"];
    const parts = parseHops(headers.hops ?? `${this.address}=0-${layerCount}`);
    const addresses = new Set(parts.map(({ address }) => address));
    if (parts[0]?.address !== this.address || addresses.size < parts.length || parts.length > 32) {
      this.refuse(request, response, 400);
      return;
    }
    for (const part of parts) {
      const peer = this.findPeer(part);
      if (peer !== undefined && peer.state === "ready" && peer.holds(part)) continue;
      const status = peer !== undefined && peer.state === "ready" ? 421 : 503;
      this.refuse(request, response, status, { "at-server": part.address });
      return;
    }
    const run = { id, at: performance.now(), hops: headers.hops, parts };
    this.open.set(id, run);
    try {
      await this.stream(request, response, run);
    } finally {
      this.open.delete(id);
    }
  }

  async stream(request, response, run) {
    await sleep(this.firstEventAfter);
    if (this.hasEnded || response.destroyed) return;
    this.runs.push({ ...run, at: performance.now() });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    const fault = this.onRun(request, this);
    if (fault === "lost") {
      request.socket.resetAndDestroy();
      return;
    }
    if (fault === "broken off") {
      // No length and no chunks: the answer ends with its connection.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      ...this.answerHeaders(request),
      "content-type": "text/event-stream",
      "weight-versions": "1",
    });
    for (let event = first; event <= this.eventCount; event += 1) {
      if (this.hasEnded || response.destroyed) return;
      if (fault === "broken off" && event > first + this.eventCount / 4) break;
      response.write(`id: ${event}\ndata: ${computeToken(event, run.parts)}\n\n`);
      await sleep(this.eventPause);
    }
    response.end();
  }

  /// Ends and starts nothing again. The entry stays until three heartbeats have been missed.
  crash() {
    if (this.hasEnded) return;
    this.end();
    setTimeout(() => this.deployment.store.remove("servers", this.id), 3 * 1_200).unref();
  }

  /// Reports that it is draining, serves on for a while and ends.
  leaveAnnounced() {
    this.state = "draining";
    this.isLeaving = true;
    this.publish();
    setTimeout(() => {
      this.end();
      this.deployment.store.remove("servers", this.id);
    }, drainMilliseconds + 1_000).unref();
  }

  /// Leaves as some replicas do: the entry is removed, and the engine serves on for a while.
  leaveUnannounced() {
    this.isUnlisted = true;
    this.isLeaving = true;
    this.deployment.store.remove("servers", this.id);
    setTimeout(() => this.end(), drainMilliseconds + 1_000).unref();
  }
}

export function parseHops(hops) {
  return hops.split(",").map((hop) => {
    const [address, range = ""] = hop.split("=");
    const [first, end] = range.split("-").map(Number);
    return { address, first, end };
  });
}

/// Whether a path runs every layer once and in order.
export function isWholePath(parts) {
  let layer = 0;
  for (const { first, end } of parts) {
    if (first !== layer || end <= first) return false;
    layer = end;
  }
  return layer === layerCount;
}
