//! What the daemon adds: against a bare pass-through for plain requests, and for tokens.
import { startEngine } from "@lovagebend/stand-ins";
import http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { round, type BenchResult } from "./bench-result.js";
import { chat } from "./chat-caller.js";
import {
  deploy,
  firstSettings,
  operatorKey,
  workspaceToken,
  type Deployment,
} from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { cpuSeconds, residentBytes } from "./measure-process.js";
import { ProcessGroup, programOf } from "./processes.js";
import { writingShape } from "./shapes.js";

const closedLoops = 64;
const loopTime = 4_000;
const latencySamples = 800;
const streams = 200;
const tokensPerStream = 60;
// Eight replicas, each of which gives its 25 streams a token every 80 ms.
const replicas = 8;
const replicaTokensPerSecond = 312;
const wantedThroughput = 0.6;
const wantedLatency = 1;
const wantedTokenDelay = 2;

/// Measures on a deployment of one entry VM a data centre; the first one is used.
export async function benchOverhead(seed: number): Promise<BenchResult> {
  const shape = { ...writingShape, entryVmsPerDataCentre: 1 };
  const deployment = await deploy(shape);
  const group = new ProcessGroup();
  try {
    const servicePort = deployment.services[0]?.port ?? 0;
    const script = programOf("bench").replace(/main\.js$/, "pass-through.js");
    const bare = await group.start("pass-through", script, [String(servicePort)]);
    const daemon = deployment.entryVms[0];
    const pid = daemon?.process.child.pid ?? 0;
    const idleMemory = residentBytes(pid);
    const viaBare = callOf(bare.ready.port ?? 0, "/stock?item=cedar");
    const viaDaemon = callOf(
      daemon?.callerPort ?? 0,
      `/v1/services/${shape.service}/stock?item=cedar`,
    );
    await throughput(viaBare, 1_000);
    await throughput(viaDaemon, 1_000);
    const bareRate = await throughput(viaBare, loopTime);
    const daemonRate = await throughput(viaDaemon, loopTime);
    const bareMedian = await medianLatency(viaBare);
    const daemonMedian = await medianLatency(viaDaemon);
    const tokens = await measureTokens(deployment, pid);
    const ratio = daemonRate / bareRate;
    const added = daemonMedian - bareMedian;
    const met =
      ratio >= wantedThroughput && added <= wantedLatency && tokens.medianDelay <= wantedTokenDelay;
    return {
      bench: "overhead",
      seed,
      ratio: round(ratio),
      baselineRatio: 1,
      goal: `throughput at least ${wantedThroughput} of the pass-through, added median at most ${wantedLatency} ms, token delay at most ${wantedTokenDelay} ms`,
      met,
      figures: {
        bareRequestsPerSecond: round(bareRate, 0),
        daemonRequestsPerSecond: round(daemonRate, 0),
        addedMedianMilliseconds: round(added),
        tokenDelayMedianMilliseconds: round(tokens.medianDelay),
        tokenDelayP95Milliseconds: round(tokens.p95Delay),
        tokensPerSecond: round(tokens.perSecond, 0),
        cpuMicrosecondsPerTokenOneStage: round(tokens.cpuOneStage, 1),
        cpuMicrosecondsPerTokenFourStages: round(tokens.cpuFourStages, 1),
        cpuMicrosecondsPerTokenAndStage: round((tokens.cpuFourStages - tokens.cpuOneStage) / 3, 1),
        idleMemoryBytes: idleMemory,
        memoryBytesPerOpenStream: round(tokens.memoryPerStream, 0),
      },
    };
  } finally {
    await group.close();
    await deployment.close();
  }
}

type Call = () => Promise<void>;

function callOf(port: number, path: string): Call {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 256 });
  const headers = { authorization: `Bearer ${workspaceToken}` };
  return () =>
    new Promise((resolve, reject) => {
      const request = http.get({ host: "127.0.0.1", port, path, headers, agent }, (answer) => {
        if (answer.statusCode !== 200) reject(new Error(`status ${answer.statusCode ?? 0}`));
        answer.resume();
        answer.on("end", resolve);
      });
      request.on("error", reject);
    });
}

async function throughput(call: Call, time: number): Promise<number> {
  const end = performance.now() + time;
  let done = 0;
  const loop = async (): Promise<void> => {
    while (performance.now() < end) {
      await call();
      done += 1;
    }
  };
  await Promise.all(Array.from({ length: closedLoops }, loop));
  return (done * 1_000) / time;
}

async function medianLatency(call: Call): Promise<number> {
  const times: number[] = [];
  for (let count = 0; count < latencySamples; count += 1) {
    const begin = performance.now();
    await call();
    times.push(performance.now() - begin);
  }
  return percentile(times, 0.5);
}

// An engine in this process says when it wrote a token, and callers in this process when
// they read it; the daemon between them is a process of its own.
async function measureTokens(deployment: Deployment, pid: number) {
  const writtenAt = new Map<string, number>();
  const delays: number[] = [];
  const engines = await Promise.all(
    Array.from({ length: replicas }, () =>
      startEngine({
        name: "whole",
        port: 0,
        firstLayer: 0,
        endLayer: 12,
        layers: 12,
        tokensPerSecond: replicaTokensPerSecond,
        checksFencing: true,
        version: "v1",
        shouldRecordRuns: false,
        onOutputs: (sequence, from) => {
          writtenAt.set(`${sequence.split(".")[0] ?? ""}/${from}`, performance.now());
        },
      }),
    ),
  );
  const promptTokens = 4;
  const run = async (count: number): Promise<number> => {
    await delay(1_500);
    const before = cpuSeconds(pid);
    let total = 0;
    const prompts = Array.from({ length: count }, (_, index) => `one two three four${index}`);
    const outcomes = await Promise.all(
      prompts.map((prompt) => {
        const request = {
          port: deployment.entryVms[0]?.callerPort ?? 0,
          token: workspaceToken,
          route: deployment.shape.route,
          prompt,
          mostTokens: tokensPerStream,
        };
        return chat(
          request,
          () => {
            total += 1;
          },
          (id, position) => {
            const key = `${id}/${position === 0 ? 0 : promptTokens + position - 1}`;
            const at = writtenAt.get(key);
            if (at !== undefined) delays.push(performance.now() - at);
          },
        );
      }),
    );
    const failed = outcomes.filter(({ ended }) => !ended);
    if (failed.length > 0) throw new Error(failed[0]?.error ?? "not ended");
    return ((cpuSeconds(pid) - before) * 1_000_000) / total;
  };
  try {
    await run(20);
    const cpuFourStages = await run(streams);
    await useOnly(
      deployment,
      engines.map(({ port }) => port),
    );
    await run(20);
    delays.length = 0;
    const begin = performance.now();
    let peak = 0;
    const before = residentBytes(pid);
    const watch = setInterval(() => {
      peak = Math.max(peak, residentBytes(pid));
    }, 50);
    const cpuOneStage = await run(streams);
    clearInterval(watch);
    const perSecond = (streams * tokensPerStream * 1_000) / (performance.now() - begin - 1_500);
    return {
      cpuFourStages,
      cpuOneStage,
      perSecond,
      medianDelay: percentile(delays, 0.5),
      p95Delay: percentile(delays, 0.95),
      memoryPerStream: Math.max(0, peak - before) / streams,
    };
  } finally {
    await Promise.all(engines.map((engine) => engine.close()));
  }
}

async function useOnly(deployment: Deployment, ports: readonly number[]): Promise<void> {
  const document = firstSettings(deployment) as { targets: Record<string, { kind: string }> };
  const services = Object.entries(document.targets).filter(([, { kind }]) => kind === "service");
  const whole = (port: number): object => ({
    kind: "engine",
    pipeline: deployment.shape.route,
    host: "127.0.0.1",
    port,
    dataCentre: "north-a",
    checksFencing: true,
    firstLayer: 0,
    endLayer: 12,
    tokensPerSecond: replicaTokensPerSecond,
    accelerator: "kind-1",
  });
  const engines = ports.map((port, index) => [`whole-${index}`, whole(port)] as const);
  const targets = Object.fromEntries<object>([...services, ...engines]);
  const url = `http://127.0.0.1:${deployment.entryVms[0]?.controlPort ?? 0}/v1/settings/${deployment.shape.name}`;
  const body = { document: { ...document, targets }, baseRevision: 1 };
  await fetchJson(url, { method: "PUT", key: operatorKey, body });
  await delay(3_000);
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
