// What the cases have in common: the deployment's settings, the entry VMs as processes of their own, the
// record, and the end of the run.
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync, createWriteStream, existsSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Proxy } from "./proxy.mjs";
import { Store } from "./store.mjs";

export const root = fileURLToPath(new URL("../..", import.meta.url));
/// Whether the disruption of the case takes place.
export const hasTrouble = process.env.TROUBLE !== "0";
export const drainMilliseconds = 2_000;
export const zone = "north";
export const apiKey = "n2ctnfzs989anu6wsjnb";

const Exit = { Held: 0, Broken: 1, NotRun: 2 };
const callersPort = 8227;
const readinessPort = 8220;
const peersPort = 8229;
const metricsPort = 9464;

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, milliseconds)));

export async function waitUntil(condition, timeout, what) {
  const end = performance.now() + timeout;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error(`timeout: ${what}`);
    await sleep(20);
  }
}

/// Random numbers from 0 to 1 that the seed decides.
export function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/// The record of a case, with the time in milliseconds since its start on each line.
export class CaseRecord {
  lines = [];
  startedAt = performance.now();

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  add(text) {
    this.lines.push(`${this.now()} ${text}`);
  }
}

/// A deployment of entry VMs on one data centre, with a stand-in of the platform's store.
export class Deployment {
  store = new Store();
  directory = mkdtempSync(join(tmpdir(), "review-3-"));
  entryVms = [];
  /// Those between the entry VMs and the store, in the order of the entry VMs.
  proxies = [];
  targets = new Set();

  constructor(record) {
    this.record = record;
  }

  /// Starts `count` entry VMs with the command of the deploy file and waits until they are ready.
  async start(count, document) {
    const program = join(root, "target/lovagebend.mjs");
    if (!existsSync(program)) throw new Error("target/lovagebend.mjs has not been built");
    const storePort = await this.store.listen();
    this.store.put("op", "config", document);
    const hosts = [];
    while (hosts.length < count) hosts.push(await findFreeHost());
    for (const [index, host] of hosts.entries()) {
      const seeds = hosts.map((each) => `${each}:${peersPort}`);
      const proxy = new Proxy(storePort);
      this.proxies.push(proxy);
      const port = await proxy.listen();
      this.entryVms.push(new EntryVm(`edge-${index + 1}`, host, port, seeds, this.directory));
    }
    for (const entryVm of this.entryVms) entryVm.start();
  }

  async waitForReadiness() {
    for (const { host } of this.entryVms)
      await waitUntil(() => isReady(host), 15_000, `${host} is ready`);
  }

  addTarget(target) {
    this.targets.add(target);
    return target;
  }

  async close() {
    await Promise.all(this.entryVms.map((entryVm) => entryVm.close()));
    for (const target of this.targets) target.close();
    for (const proxy of this.proxies) proxy.close();
    this.store.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

class EntryVm {
  constructor(name, host, storePort, seeds, directory) {
    Object.assign(this, { name, host, storePort, seeds, directory });
  }

  start() {
    const settingsPath = join(this.directory, `${this.name}.conf`);
    writeFileSync(settingsPath, this.formatSettings());
    this.log = createWriteStream(join(this.directory, `${this.name}.log`));
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn("node", ["--max-old-space-size=160", "target/lovagebend.mjs"], {
      cwd: root,
      env: { PATH, HOME, LANG, LOVAGEBEND_SETTINGS: settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child.stdout.pipe(this.log, { end: false });
    this.child.stderr.pipe(this.log, { end: false });
    this.ended = new Promise((resolve) => this.child.once("exit", resolve));
  }

  formatSettings() {
    const { name, host, seeds, storePort } = this;
    return [
      `node=${name}`,
      "role=entry",
      "machine_class=edge",
      "serves=edge,control_plane",
      `ip=${host}`,
      `zone=${zone}`,
      "region=review",
      `zones.${zone}=review`,
      `listen.front=${host}:${callersPort}`,
      `listen.readiness=${host}:${readinessPort}`,
      `listen.control=${host}:${peersPort}`,
      "port_range=7340,7355",
      `seeds=${seeds.slice(0, 3).join(",")}`,
      "bootstrap=true",
      "in_tolerance=false",
      "limits.cpu_share=0.675",
      "limits.cores=1",
      "limits.memory_mb=350",
      "limits.max_fds=4100",
      "limits.link_mbps=1000.0",
      "limits.disk_mb=0",
      "discovery=platform",
      "entry=vip",
      "heartbeat_ms=1200",
      "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers",
      "bounds.stable_ms=3000",
      `bounds.drain_ms=${drainMilliseconds}`,
      "bounds.grace_s=8",
      "bounds.config_apply_ms=2000",
      "bounds.retry_ratio=0.2",
      "bounds.retry_window_s=10",
      "bounds.retry_slack=196",
      `platform.address=127.0.0.1:${storePort}`,
      "platform.form=table",
      "",
    ].join("\n");
  }

  async close() {
    if (this.child === undefined) return;
    if (this.child.exitCode === null && this.child.signalCode === null) {
      this.child.kill("SIGKILL");
      await this.ended;
    }
    this.log.end();
  }
}

/// Sends a request as a client and reads the answer, which may be incomplete. Each client attempt has a
/// connection of its own.
export function sendRequest(host, { method, path, headers, body = "", deadline, onData }) {
  return new Promise((resolve) => {
    const result = { status: 0, headers: {}, body: "", isComplete: false };
    const request = http.request({
      host,
      port: callersPort,
      method,
      path,
      agent: false,
      headers: {
        host: "guild.example",
        "api-key": apiKey,
        "deadline-ms": String(deadline),
        ...(body === "" ? {} : { "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const finish = () => {
      clearTimeout(timer);
      resolve(result);
      request.destroy();
    };
    const timer = setTimeout(finish, deadline + 200);
    request.on("error", finish);
    request.on("response", (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on("data", (chunk) => {
        result.body += chunk.toString();
        onData?.(result);
      });
      response.on("error", finish);
      response.on("end", () => {
        result.isComplete = response.complete;
        finish();
      });
    });
    request.end(body);
  });
}

/// Runs a case: `run` returns the lines that state how the rule was broken. Writes the record and exits.
export async function runCase(directory, run) {
  const record = new CaseRecord();
  const deployment = new Deployment(record);
  let exitCode;
  try {
    record.add(`trouble: ${hasTrouble}`);
    const broken = await run(deployment, record);
    for (const line of broken) record.add(`BROKEN ${line}`);
    exitCode = broken.length > 0 ? Exit.Broken : Exit.Held;
    record.add(exitCode === Exit.Broken ? "result: the rule was broken" : "result: the rule held");
  } catch (error) {
    record.add(`result: the case could not run: ${error.stack}`);
    exitCode = Exit.NotRun;
  }
  await deployment.close();
  writeFileSync(join(directory, "record.txt"), `${record.lines.join("\n")}\n`);
  console.log(record.lines.filter((line) => /BROKEN|result:|summary/.test(line)).join("\n"));
  process.exit(exitCode);
}

async function isReady(host) {
  return new Promise((resolve) => {
    const request = http.get({ host, port: readinessPort, path: "/readyz", agent: false });
    request.on("response", (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on("error", () => resolve(false));
  });
}

// An address of 127.0.0.0/8 on which nothing listens on the ports of an entry VM.
async function findFreeHost() {
  for (;;) {
    const draw = (from, to) => from + Math.floor(Math.random() * (to - from));
    const host = `127.${draw(140, 220)}.${draw(1, 250)}.${draw(1, 250)}`;
    const ports = [callersPort, readinessPort, peersPort, metricsPort];
    const free = await Promise.all(ports.map((port) => isFree(host, port)));
    if (free.every(Boolean)) return host;
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
