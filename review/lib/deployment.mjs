// A small deployment on loopback addresses: the entry program of the deploy file as separate
// processes, a stand-in store behind a proxy, an operator, and a record of the run.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StoreProxy } from "./store-proxy.mjs";
import { Store } from "./store.mjs";

export const bounds = {
  stableTime: 3_000,
  configApplyTime: 2_000,
  drainTime: 2_000,
};
// The ports are the same on all machines, and free ones of each run.
let callersPort = 0;
let readinessPort = 0;
let controlPort = 0;
const zones = ["north", "middle", "south"];
const hasTrouble = process.env.TROUBLE !== "0";
const startTimeout = 30_000;

export const now = () => performance.now();
export const sleep = (time) => new Promise((resolve) => setTimeout(resolve, Math.max(0, time)));

export class Deployment {
  hasTrouble = hasTrouble;
  store = new Store();
  proxy = new StoreProxy(this.store);
  entryVms = [];
  replicas = [];
  children = new Set();
  directory = mkdtempSync(join(tmpdir(), "review-"));
  startedAt = now();
  isClosing = false;

  constructor(recordPath) {
    this.recordStream = createWriteStream(recordPath);
    this.record("start", { trouble: hasTrouble });
    process.once("exit", () => {
      for (const child of this.children) child.kill("SIGKILL");
    });
    for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(2));
  }

  record(event, fields = {}) {
    const at = Math.round(now() - this.startedAt);
    this.recordStream.write(`${JSON.stringify({ at, event, ...fields })}\n`);
  }

  async start({ entryVmCount, document }) {
    await this.store.listen();
    await this.proxy.listen();
    this.writeDocument(document);
    const base = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}`;
    const hosts = Array.from({ length: entryVmCount }, (_, index) => `${base}.${index + 1}`);
    [callersPort, readinessPort, controlPort] = await findFreePorts(hosts[0], 3);
    for (const [index, host] of hosts.entries()) {
      const zone = zones[index % zones.length];
      const entryVm = { name: `edge-${zone}-${Math.floor(index / zones.length) + 1}`, host, zone };
      this.entryVms.push(entryVm);
      this.startEntryVm(entryVm, hosts.slice(0, 3));
    }
    const deadline = now() + startTimeout;
    while (!(await this.areAllReady())) {
      if (now() > deadline) throw new Error("the entry VMs are not ready in time");
      await sleep(100);
    }
    this.record("ready");
  }

  startEntryVm(entryVm, seedHosts) {
    const { name, host, zone } = entryVm;
    const settingsPath = join(this.directory, `${name}.conf`);
    const settings = {
      node: name,
      role: "entry",
      machine_class: "edge",
      serves: "edge,control_plane",
      ip: host,
      zone,
      region: "land",
      ...Object.fromEntries(zones.map((listed) => [`zones.${listed}`, "land"])),
      "listen.front": `${host}:${callersPort}`,
      "listen.readiness": `${host}:${readinessPort}`,
      "listen.control": `${host}:${controlPort}`,
      port_range: "7340,7355",
      seeds: seedHosts.map((seed) => `${seed}:${controlPort}`).join(","),
      bootstrap: "true",
      "limits.cpu_share": "0.675",
      "limits.cores": "1",
      "limits.memory_mb": "350",
      "limits.max_fds": "4200",
      "limits.link_mbps": "1000.0",
      "limits.disk_mb": "0",
      discovery: "platform",
      entry: "vip",
      heartbeat_ms: "1200",
      contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers",
      "fault_tolerance.machines": "2",
      "fault_tolerance.zones": "1",
      "fault_tolerance.regions": "0",
      "bounds.seed_lag_s": "3",
      "bounds.reuse_after_s": "2",
      "bounds.stable_ms": "3000",
      "bounds.ack_ms": "4000",
      "bounds.catch_up_s": "4",
      "bounds.drain_ms": "2000",
      "bounds.grace_s": "8",
      "bounds.loss_slack_ms": "200",
      "bounds.config_apply_ms": "2000",
      "bounds.rollback_slack_ms": "250",
      "bounds.max_skew_ms": "5000",
      "bounds.strict_revoke": "false",
      "bounds.revoke_ms": "5000",
      "bounds.retry_ratio": "0.2",
      "bounds.retry_window_s": "10",
      "bounds.retry_slack": "196",
      "bounds.recover_s": "12",
      "bounds.pass_ms": "120",
      "bounds.retry_after_s": "0",
      "bounds.stall_ms": "2500",
      "bounds.fencing": "false",
      "platform.address": `127.0.0.1:${this.proxy.port}`,
      "platform.form": "table",
      "platform.writes_per_s": "400",
      "platform.reads_per_s": "2000",
      "platform.tx_ms": "4.0",
      "platform.part_writes_s": "250",
      "platform.row_bytes": "65536",
      "platform.across": "true",
      "platform.history_s": "20",
    };
    const lines = Object.entries(settings).map(([field, value]) => `${field}=${value}\n`);
    writeFileSync(settingsPath, lines.join(""));
    const [program, ...programArguments] = readRunLine();
    const child = spawn(program === "node" ? process.execPath : program, programArguments, {
      env: { PATH: process.env.PATH, LOVAGEBEND_SETTINGS: settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(this.directory, `${name}.log`));
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    this.children.add(child);
    entryVm.child = child;
    child.once("exit", (code, signal) => {
      this.children.delete(child);
      if (!this.isClosing) this.record("entry VM ended", { name, code, signal });
    });
  }

  async areAllReady() {
    const answers = await Promise.all(
      this.entryVms.map(({ host }) =>
        call({ host, port: readinessPort, path: "/readyz", timeout: 1_000 }),
      ),
    );
    return answers.every(({ status }) => status === 200);
  }

  writeDocument(document) {
    this.store.put("op", "config", document);
    this.record("configuration acknowledged", { version: document.version });
    return now();
  }

  /// Sends a request of a client to an entry VM and records it with its answer.
  async send(entryVm, request) {
    const { id, path } = request;
    const sentAt = now();
    this.record("sent", { id, path, entryVm: entryVm.name });
    const answer = await call({
      host: entryVm.host,
      port: callersPort,
      ...request,
      headers: {
        host: "portal.example",
        "attempt-id": id,
        "deadline-ms": String(request.timeLimit),
        ...request.headers,
      },
      timeout: request.patience ?? request.timeLimit,
    });
    const took = Math.round(now() - sentAt);
    this.record("answered", {
      id,
      status: answer.status,
      isComplete: answer.isComplete,
      stamp: answer.headers["server-stamp"],
      end: answer.end,
      took,
    });
    return { ...answer, id, entryVm: entryVm.name, sentAt, took };
  }

  async close() {
    this.isClosing = true;
    const ends = [...this.children].map(
      (child) =>
        new Promise((resolve) => {
          child.once("exit", resolve);
          child.kill("SIGKILL");
        }),
    );
    await Promise.all(ends);
    this.proxy.close();
    this.store.close();
    for (const replica of this.replicas) replica.close();
    if (process.env.KEEP_LOGS !== "1") rmSync(this.directory, { recursive: true, force: true });
    await new Promise((resolve) => this.recordStream.end(resolve));
  }
}

/// Runs a case and ends the process: 1 if `play` returns faults, 0 if it returns none, 2 if it
/// cannot run.
export async function runCase(recordPath, play) {
  const deployment = new Deployment(recordPath);
  let code = 2;
  try {
    const faults = await play(deployment);
    for (const fault of faults.slice(0, 20)) console.log(fault);
    console.log(faults.length === 0 ? "the rule held" : `the rule was broken: ${faults.length}`);
    deployment.record("end", { faults });
    code = faults.length === 0 ? 0 : 1;
  } catch (error) {
    console.log(`the case could not run: ${error.stack}`);
    deployment.record("case could not run", { detail: String(error) });
  }
  await deployment.close();
  process.exit(code);
}

/// One HTTP call over a connection of its own. `end` is "answered", "closed" or "no answer".
export function call({ host, port, method = "GET", path, headers = {}, body = "", timeout }) {
  return new Promise((resolve) => {
    const chunks = [];
    const length = body === "" ? {} : { "content-length": Buffer.byteLength(body) };
    const request = http.request({
      host,
      port,
      method,
      path,
      headers: { ...headers, ...length },
      agent: false,
    });
    const finish = (end, response) => {
      clearTimeout(timer);
      resolve({
        end,
        status: response?.statusCode ?? 0,
        headers: response?.headers ?? {},
        isComplete: response?.complete ?? false,
        body: Buffer.concat(chunks).toString(),
      });
      request.destroy();
    };
    const timer = setTimeout(() => {
      finish("no answer");
    }, timeout);
    request.on("error", () => {
      finish("closed");
    });
    request.on("response", (response) => {
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => undefined);
      response.on("close", () => {
        finish("answered", response);
      });
    });
    request.end(body);
  });
}

async function findFreePorts(host, count) {
  const servers = Array.from({ length: count }, () => net.createServer());
  for (const server of servers)
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, host, resolve);
    });
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

// The words of the `run` line of the deploy file.
function readRunLine() {
  const line = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"));
  if (line === null) throw new Error("deploy/system.toml has no run line");
  return line[1].split(" ");
}

/// A configuration with a service for orders and a model service.
export function createDocument(version, { keys, routes, services }) {
  const route = (fields) => ({
    host: "portal.example",
    timeout_ms: 3_000,
    slo_ms: 500,
    priority: 1,
    max_attempts: 1,
    public: false,
    ...fields,
  });
  return {
    version,
    routes: routes.map(route),
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "guild", api_keys: keys }],
  };
}
