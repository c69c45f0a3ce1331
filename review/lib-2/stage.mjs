// What the cases share: the record, the entry VM processes of the deploy file, replica processes
// and a client on a plain socket.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export const root = fileURLToPath(new URL("../..", import.meta.url));
export const hasTrouble = process.env.TROUBLE !== "0";
export const sleep = (time) => new Promise((resolve) => setTimeout(resolve, time));

const ports = { front: 8227, readiness: 8220, control: 8229, metrics: 9464 };
const scriptLimit = 110_000;

export class Stage {
  store = new Store();
  vms = [];
  #children = new Set();
  #directory = mkdtempSync(join(tmpdir(), "review-"));
  #startedAt = performance.now();
  #recordPath;

  constructor(scriptUrl) {
    this.#recordPath = join(dirname(fileURLToPath(scriptUrl)), "record.txt");
    writeFileSync(this.#recordPath, "");
  }

  now() {
    return performance.now() - this.#startedAt;
  }

  record(text) {
    appendFileSync(this.#recordPath, `${(this.now() / 1000).toFixed(3)} s  ${text}\n`);
  }

  // Runs `play`, ends all processes and exits: 1 if it returns broken rules, 0 if it returns none, 2
  // if it throws.
  async run(play) {
    const limit = setTimeout(() => this.#finish(2, "the case took too long"), scriptLimit);
    this.record(`trouble: ${hasTrouble ? "yes" : "no"}`);
    try {
      this.storePort = await this.store.listen();
      const broken = await play();
      for (const text of broken) this.record(`BROKEN ${text}`);
      this.#finish(broken.length > 0 ? 1 : 0, `${broken.length} breaks`);
    } catch (error) {
      this.#finish(2, `could not run: ${error.stack}`);
    }
    clearTimeout(limit);
  }

  #finish(code, text) {
    this.record(`${text}; exit ${code}`);
    console.log(text);
    for (const child of this.#children) child.kill("SIGKILL");
    rmSync(this.#directory, { recursive: true, force: true });
    process.exit(code);
  }

  // Starts `count` entry VMs as the deploy file says, in one zone each, and waits until all are ready.
  async startEntryVms(count) {
    const hosts = [];
    while (hosts.length < count) hosts.push(await this.#findFreeHost(hosts));
    const seeds = hosts.slice(0, 3).map((host) => `${host}:${ports.control}`);
    for (const [index, host] of hosts.entries()) {
      const vm = new EntryVm(this, `edge-${index + 1}`, `zone-${index + 1}`, host, seeds);
      this.vms.push(vm);
      vm.start();
    }
    await this.waitUntil(async () => {
      const ready = await Promise.all(this.vms.map((vm) => vm.isReady()));
      return !ready.includes(false);
    }, "all entry VMs are ready");
    this.record(`entry VMs ready at ${hosts.join(", ")}`);
  }

  async waitUntil(condition, name, time = 30_000) {
    const deadline = this.now() + time;
    while (!(await condition())) {
      if (this.now() > deadline) throw new Error(`not within ${time} ms: ${name}`);
      await sleep(20);
    }
  }

  // Starts a program that ends with the script at the latest.
  spawn(command, words, env) {
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, words, {
      cwd: root,
      env: { PATH, HOME, LANG, ...env },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    return child;
  }

  writeFile(name, text) {
    const path = join(this.#directory, name);
    writeFileSync(path, text);
    return path;
  }

  logPath(name) {
    return join(this.#directory, `${name}.log`);
  }

  async #findFreeHost(taken) {
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const byte = () => 1 + Math.floor(Math.random() * 250);
      const host = `127.${byte()}.${byte()}.${byte()}`;
      if (taken.includes(host)) continue;
      const free = await Promise.all(Object.values(ports).map((port) => isFree(host, port)));
      if (!free.includes(false)) return host;
    }
    throw new Error("no free loopback address");
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

class EntryVm {
  constructor(stage, name, zone, host, seeds) {
    Object.assign(this, { stage, name, zone, host, seeds });
  }

  get front() {
    return { host: this.host, port: ports.front };
  }

  start() {
    const { stage, name, zone, host, seeds } = this;
    const settings = stage.writeFile(
      `${name}.conf`,
      [
        `node=${name}`,
        "role=entry",
        "machine_class=edge",
        "serves=edge,control_plane",
        `ip=${host}`,
        `zone=${zone}`,
        "region=region",
        "zones.zone-1=region",
        "zones.zone-2=region",
        "zones.zone-3=region",
        `listen.front=${host}:${ports.front}`,
        `listen.readiness=${host}:${ports.readiness}`,
        `listen.control=${host}:${ports.control}`,
        "port_range=7340,7355",
        `seeds=${seeds.join(",")}`,
        "bootstrap=true",
        "limits.cpu_share=0.675",
        "limits.cores=1",
        "limits.memory_mb=350",
        "limits.max_fds=4100",
        "limits.link_mbps=1000.0",
        "limits.disk_mb=0",
        "discovery=platform",
        "entry=vip",
        "heartbeat_ms=1200",
        "bounds.seed_lag_s=3",
        "bounds.reuse_after_s=2",
        "bounds.stable_ms=3000",
        "bounds.ack_ms=4000",
        "bounds.catch_up_s=4",
        "bounds.drain_ms=2000",
        "bounds.grace_s=8",
        "bounds.loss_slack_ms=200",
        "bounds.config_apply_ms=2000",
        "bounds.rollback_slack_ms=250",
        "bounds.max_skew_ms=5000",
        "bounds.retry_ratio=0.2",
        "bounds.retry_window_s=10",
        "bounds.retry_slack=202",
        "bounds.recover_s=12",
        "bounds.pass_ms=120",
        "bounds.stall_ms=2500",
        `platform.address=127.0.0.1:${stage.storePort}`,
        "platform.form=table",
        "platform.writes_per_s=400",
        "platform.reads_per_s=2000",
        "",
      ].join("\n"),
    );
    const deployFile = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [command, ...words] = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
    this.child = stage.spawn(command, words, { LOVAGEBEND_SETTINGS: settings });
    const logPath = stage.logPath(name);
    writeFileSync(logPath, "");
    for (const stream of [this.child.stdout, this.child.stderr])
      stream.on("data", (bytes) => appendFileSync(logPath, bytes));
  }

  get log() {
    return readFileSync(this.stage.logPath(this.name), "utf8");
  }

  signal(name) {
    this.stage.record(`${name} to ${this.name}`);
    this.child.kill(name);
  }

  async isReady() {
    const answer = await send(
      { host: this.host, port: ports.readiness },
      `GET /readyz HTTP/1.1\r\nHost: ${this.host}\r\nConnection: close\r\n\r\n`,
    );
    return answer.status === 200;
  }
}

// Sends the bytes of one request over a new connection and reads until the connection ends. `end` is
// "fin" for a plain end, "reset" or another error code. `body` is without the framing of chunks, and
// `isComplete` is what a client concludes that follows HTTP/1.1.
export function send({ host, port }, request, { onHead, onBytes } = {}) {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port, noDelay: true });
    const chunks = [];
    let head;
    let isSettled = false;
    const settle = (end) => {
      if (isSettled) return;
      isSettled = true;
      socket.destroy();
      resolve(readAnswer(Buffer.concat(chunks), end));
    };
    socket.on("connect", () => socket.write(request));
    socket.on("data", (bytes) => {
      chunks.push(bytes);
      const all = Buffer.concat(chunks);
      if (head === undefined && all.includes("\r\n\r\n")) {
        head = readAnswer(all, "open");
        onHead?.(head);
      }
      onBytes?.(all);
      if (readAnswer(all, "open").isComplete) settle("kept");
    });
    socket.on("end", () => settle("fin"));
    socket.on("error", ({ code }) => settle(code === "ECONNRESET" ? "reset" : code));
    socket.on("close", () => settle("closed"));
  });
}

function readAnswer(bytes, end) {
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd === -1) return { status: 0, headers: {}, body: "", isComplete: false, end };
  const [statusLine, ...lines] = bytes.toString("latin1", 0, headEnd).split("\r\n");
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const status = Number(statusLine.split(" ")[1]);
  const rest = bytes.subarray(headEnd + 4);
  if (headers["transfer-encoding"] === "chunked") {
    const { body, isComplete } = readChunks(rest);
    return { status, headers, body, isComplete, end };
  }
  const body = rest.toString("latin1");
  if (headers["content-length"] !== undefined) {
    const isComplete = rest.length >= Number(headers["content-length"]);
    return { status, headers, body, isComplete, end };
  }
  return { status, headers, body, isComplete: end === "fin", end };
}

function readChunks(bytes) {
  let body = "";
  let position = 0;
  for (;;) {
    const lineEnd = bytes.indexOf("\r\n", position);
    if (lineEnd === -1) return { body, isComplete: false };
    const length = parseInt(bytes.toString("latin1", position, lineEnd), 16);
    if (length === 0) return { body, isComplete: true };
    const start = lineEnd + 2;
    body += bytes.toString("latin1", start, Math.min(bytes.length, start + length));
    position = start + length + 2;
    if (position > bytes.length) return { body, isComplete: false };
  }
}

export const key = "n2ctnfzs989anu6wsjnb";
export const hostName = "ficu95.example";

// The bytes of a request as clients send it.
export function formatRequest({ method = "POST", path, id, deadline, headers = {}, body = "" }) {
  const all = {
    Host: hostName,
    "Attempt-Id": id,
    "Deadline-Ms": deadline,
    "Api-Key": key,
    ...headers,
    ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`;
}

// The operator's document: `/order/` is not idempotent, `/stock/` is, `/advice/` streams.
export function operatorDocument(version) {
  const route = (path_prefix, route_kind, service, fields) => ({
    name: `route${path_prefix}`,
    host: hostName,
    path_prefix,
    route_kind,
    timeout_ms: 3_000,
    slo_ms: 386,
    priority: 1,
    service,
    max_attempts: 1,
    public: false,
    ...fields,
  });
  return {
    version,
    routes: [
      route("/order/", "non_idempotent", "werkportal", {}),
      route("/stock/", "idempotent", "werkportal", { max_attempts: 2 }),
      route("/advice/", "streaming", "bootsrat", {
        timeout_ms: 20_000,
        slo_ms: 500,
        gap_target_ms: 200,
        resumable: true,
        sticky: true,
        max_attempts: 2,
      }),
    ],
    services: [
      { name: "werkportal", health_path: "/healthz", max_conns: 110 },
      {
        name: "bootsrat",
        health_path: "/healthz",
        max_conns: 1_078,
        engine: {
          layers: 80,
          layer_mb: 1_750,
          kv_bytes: 459_000,
          step_ms: 0.85,
          per_seq_ms: 0.00297,
          context_per_k: 0.00398,
          pairs_per_m: 0.129,
          read_per_s: 252_000,
          chunk: 512,
          stride: 2,
          slots: 134,
          models: [{ name: "daka510000", load_s: 14 }],
          usual: { prompt: 760, answer: 154 },
          kinds: [{ name: "h200", size_mb: 240_000, pace: 1, read_factor: 1 }],
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "hule930", api_keys: [key] }],
  };
}

// A replica as a process of its own. It prints a line of JSON for each thing that it does.
export class Replica {
  isListed = false;
  lines = [];

  constructor(stage, options) {
    this.stage = stage;
    this.options = options;
    const program = fileURLToPath(new URL("replica.mjs", import.meta.url));
    this.child = stage.spawn(process.execPath, [program, JSON.stringify(options)], {});
    let rest = "";
    this.child.stdout.on("data", (bytes) => {
      const texts = (rest + bytes).split("\n");
      rest = texts.pop();
      for (const text of texts) {
        const line = JSON.parse(text);
        this.lines.push({ at: stage.now(), ...line });
        stage.record(`replica ${options.id}: ${text}`);
      }
    });
    this.child.stderr.on("data", (bytes) => stage.record(`replica ${options.id}: ${bytes}`));
  }

  async list() {
    await this.stage.waitUntil(() => this.lines.length > 0, "the replica listens");
    const { id, service, zone, card, slots } = this.options;
    const { port, born } = this.lines[0];
    const engine = card === undefined ? {} : { route_kind: card, layers: { from: 0, target: 80 } };
    this.stage.store.put("servers", id, {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: "v1",
      slots,
      state: "ready",
      cold_left_ms: 0,
      seq_no: 0,
      born,
      ...engine,
    });
  }

  unlist() {
    this.stage.store.remove("servers", this.options.id);
  }

  signal(name) {
    this.stage.record(`${name} to replica ${this.options.id}`);
    this.child.kill(name);
  }
}
