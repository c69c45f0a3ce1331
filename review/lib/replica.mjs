// Stand-ins for replicas: a plain service, and an engine of a model whose layers are placed by
// orders.
import http from "node:http";

// The time that a request takes at the plain service, in milliseconds.
const portalWork = 80;

class Replica {
  born = Date.now();
  writeCount = 0;
  layers = null;
  server = http.createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  constructor(deployment, { id, service, zone, slots = 6 }) {
    Object.assign(this, { deployment, id, service, zone, slots });
    deployment.replicas.push(this);
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = this.server.address().port;
    this.publish();
  }

  publish() {
    this.writeCount += 1;
    this.deployment.store.put("servers", this.id, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: "ready",
      seq_no: this.writeCount,
      cold_left_ms: 0,
      born: this.born,
      ...this.extraFields,
    });
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    if (await this.handleOwn(request, body, response)) return;
    const { headers } = request;
    const id = headers["attempt-id"];
    if (id === undefined) {
      response.writeHead(400, { "not-executed": "1" }).end();
      return;
    }
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "attempt-id": id, "not-executed": "1" }).end();
      return;
    }
    const run = { id, replica: this.id, path: request.url, tenant: headers.tenant, at: now() };
    this.deployment.record("run", { id, replica: this.id, tenant: headers.tenant });
    this.deployment.runs ??= [];
    this.deployment.runs.push(run);
    await this.answer(request, response, id);
  }

  handleOwn() {
    return false;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

export class Portal extends Replica {
  /// Answers a request whose work is done. A case may replace it for some answers.
  sendAnswer = (request, response, id) => {
    const body = `answer of ${this.id} to ${id}`;
    response
      .writeHead(200, {
        "attempt-id": id,
        "server-stamp": `stamp.${this.id}.${id}`,
        "content-length": Buffer.byteLength(body),
      })
      .end(body);
  };

  handleOwn(request, _body, response) {
    if (request.url !== "/healthz") return false;
    response.writeHead(200, { "instance-id": this.id, "content-length": 0 }).end();
    return true;
  }

  async answer(request, response, id) {
    await new Promise((resolve) => setTimeout(resolve, portalWork));
    this.sendAnswer(request, response, id);
  }
}

export class Engine extends Replica {
  orderCount = 0;
  events = 20;
  eventPause = 20;
  /// Whether the answer to a request that this engine runs is lost. A case may replace it.
  losesAnswer = () => false;

  get extraFields() {
    return { route_kind: "card", layers: this.layers };
  }

  handleOwn(request, body, response) {
    const reply = (status, content) => {
      const text = JSON.stringify(content);
      response.writeHead(status, { "content-type": "application/json" }).end(text);
      return true;
    };
    if (request.url === "/report")
      return reply(200, {
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        seq_no: this.orderCount,
        queued: 0,
        active: 0,
        kv_used: 0,
        kv_total: 90_000,
        handles: 0,
        pace: 1,
        born: this.born,
        layers: this.layers,
        stalled: [],
      });
    if (request.url !== "/order") return false;
    const order = JSON.parse(body);
    if (order.op !== "place") return reply(404, {});
    const hasLayers = this.layers?.from === order.from && this.layers.target === order.target;
    if (hasLayers) return reply(200, {});
    if (order.expected_rev !== undefined && order.expected_rev !== this.orderCount)
      return reply(409, {});
    this.orderCount += 1;
    this.layers = { from: order.from, target: order.target, version: 1 };
    this.publish();
    return reply(202, {});
  }

  async answer(request, response, id) {
    await new Promise((resolve) => setTimeout(resolve, this.eventPause));
    if (this.losesAnswer(request)) {
      this.deployment.record("answer lost", { id, replica: this.id });
      request.socket.resetAndDestroy();
      return;
    }
    response.writeHead(200, {
      "attempt-id": id,
      "server-stamp": `stamp.${this.id}.${id}`,
      "content-type": "text/event-stream",
      "weight-versions": "1",
    });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= this.events; event += 1) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: piece-${event}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, this.eventPause));
    }
    response.end();
  }
}

function now() {
  return performance.now();
}

/// The services of a configuration: the portal and a model of eight layers that one card holds.
export const services = [
  { name: "portal", health_path: "/healthz", max_conns: 48 },
  {
    name: "model",
    health_path: "/healthz",
    max_conns: 1_038,
    engine: {
      layers: 8,
      layer_mb: 100,
      kv_bytes: 8_000,
      step_ms: 1,
      per_seq_ms: 0.003,
      context_per_k: 0.004,
      stride: 2,
      chunk: 512,
      read_per_s: 252_000,
      models: [{ name: "m", load_s: 1 }],
      usual: { prompt: 100, answer: 20 },
      kinds: [{ name: "card", size_mb: 2_000, pace: 1, read_factor: 1 }],
    },
  },
];
