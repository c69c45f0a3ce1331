//! Benchmark of the daemon's overhead: throughput and latency of service requests relative to a
//! minimal reverse proxy, and delay, CPU time and memory per streamed token and stream.
import { startEngine } from "@lovagebend/stand-ins";
import http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { round, type BenchResult } from "./bench-result.js";
import { chat } from "./chat-caller.js";
import {
  deploy,
  createInitialSettings,
  operatorKey,
  workspaceToken,
  type Deployment,
} from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { readCpuSeconds, readResidentBytes } from "./measure-process.js";
import { ProcessGroup, resolveProgram } from "./processes.js";
import { writingSpec } from "./deployment-specs.js";

const closedLoopClients = 64;
const loopMilliseconds = 4_000;
const latencySamples = 800;
const streamCount = 200;
const tokensPerStream = 60;
// Eight replicas, each of which generates a token every 80 ms for each of its 25 streams.
const replicaCount = 8;
const replicaTokensPerSecond = 312;
const minimumThroughputRatio = 0.6;
const maximumAddedMilliseconds = 1;
const maximumTokenDelayMilliseconds = 2;

/// Measures the first entry VM of a deployment with one entry VM per data centre.
export async function benchOverhead(seed: number): Promise<BenchResult> {
  const spec = { ...writingSpec, entryVmsPerDataCentre: 1 };
  const deployment = await deploy(spec);
  const group = new ProcessGroup();
  try {
    const servicePort = deployment.services[0]?.port ?? 0;
    const script = resolveProgram("bench").replace(/main\.js$/, "pass-through.js");
    const passThrough = await group.start("pass-through", script, [String(servicePort)]);
    const daemon = deployment.entryVms[0];
    const pid = daemon?.process.child.pid ?? 0;
    const idleMemoryBytes = readResidentBytes(pid);
    const callPassThrough = createRequestSender(
      passThrough.readyMessage.port ?? 0,
      "/stock?item=cedar",
    );
    const callDaemon = createRequestSender(
      daemon?.callerPort ?? 0,
      `/v1/services/${spec.service}/stock?item=cedar`,
    );
    await measureThroughput(callPassThrough, 1_000);
    await measureThroughput(callDaemon, 1_000);
    const passThroughRate = await measureThroughput(callPassThrough, loopMilliseconds);
    const daemonRate = await measureThroughput(callDaemon, loopMilliseconds);
    const passThroughMedian = await measureMedianLatency(callPassThrough);
    const daemonMedian = await measureMedianLatency(callDaemon);
    const tokens = await measureTokens(deployment, pid);
    const ratio = daemonRate / passThroughRate;
    const addedMilliseconds = daemonMedian - passThroughMedian;
    const met =
      ratio >= minimumThroughputRatio &&
      addedMilliseconds <= maximumAddedMilliseconds &&
      tokens.medianDelayMilliseconds <= maximumTokenDelayMilliseconds;
    return {
      bench: "overhead",
      seed,
      ratio: round(ratio),
      baselineRatio: 1,
      goal: `throughput at least ${minimumThroughputRatio} of the pass-through, added median at most ${maximumAddedMilliseconds} ms, token delay at most ${maximumTokenDelayMilliseconds} ms`,
      met,
      figures: {
        bareRequestsPerSecond: round(passThroughRate, 0),
        daemonRequestsPerSecond: round(daemonRate, 0),
        addedMedianMilliseconds: round(addedMilliseconds),
        tokenDelayMedianMilliseconds: round(tokens.medianDelayMilliseconds),
        tokenDelayP95Milliseconds: round(tokens.p95DelayMilliseconds),
        tokensPerSecond: round(tokens.tokensPerSecond, 0),
        cpuMicrosecondsPerTokenOneStage: round(tokens.cpuMicrosecondsOneStage, 1),
        cpuMicrosecondsPerTokenFourStages: round(tokens.cpuMicrosecondsFourStages, 1),
        cpuMicrosecondsPerTokenAndStage: round(
          (tokens.cpuMicrosecondsFourStages - tokens.cpuMicrosecondsOneStage) / 3,
          1,
        ),
        idleMemoryBytes,
        memoryBytesPerOpenStream: round(tokens.memoryBytesPerStream, 0),
      },
    };
  } finally {
    await group.close();
    await deployment.close();
  }
}

type SendRequest = () => Promise<void>;

function createRequestSender(port: number, path: string): SendRequest {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 256 });
  const headers = { authorization: `Bearer ${workspaceToken}` };
  return () =>
    new Promise((resolve, reject) => {
      const request = http.get({ host: "127.0.0.1", port, path, headers, agent }, (response) => {
        if (response.statusCode !== 200)
          reject(new Error(`unexpected HTTP status ${response.statusCode ?? 0}`));
        response.resume();
        response.on("end", resolve);
      });
      request.on("error", reject);
    });
}

async function measureThroughput(
  sendRequest: SendRequest,
  durationMilliseconds: number,
): Promise<number> {
  const end = performance.now() + durationMilliseconds;
  let completed = 0;
  const runLoop = async (): Promise<void> => {
    while (performance.now() < end) {
      await sendRequest();
      completed += 1;
    }
  };
  await Promise.all(Array.from({ length: closedLoopClients }, runLoop));
  return (completed * 1_000) / durationMilliseconds;
}

async function measureMedianLatency(sendRequest: SendRequest): Promise<number> {
  const latencies: number[] = [];
  for (let count = 0; count < latencySamples; count += 1) {
    const startedAt = performance.now();
    await sendRequest();
    latencies.push(performance.now() - startedAt);
  }
  return computePercentile(latencies, 0.5);
}

// The engines and the callers run in this process, so that the times at which a token is
// written and read come from one clock. The daemon between them is a separate process.
async function measureTokens(deployment: Deployment, pid: number) {
  const writtenAt = new Map<string, number>();
  const delays: number[] = [];
  const engines = await Promise.all(
    Array.from({ length: replicaCount }, () =>
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
  const runStreams = async (count: number): Promise<number> => {
    await delay(1_500);
    const cpuSecondsBefore = readCpuSeconds(pid);
    let tokenCount = 0;
    const prompts = Array.from({ length: count }, (_, index) => `one two three four${index}`);
    const outcomes = await Promise.all(
      prompts.map((prompt) => {
        const request = {
          port: deployment.entryVms[0]?.callerPort ?? 0,
          bearerToken: workspaceToken,
          route: deployment.spec.route,
          prompt,
          maximumTokens: tokensPerStream,
        };
        return chat(
          request,
          () => {
            tokenCount += 1;
          },
          (id, position) => {
            const key = `${id}/${position === 0 ? 0 : promptTokens + position - 1}`;
            const tokenWrittenAt = writtenAt.get(key);
            if (tokenWrittenAt !== undefined) delays.push(performance.now() - tokenWrittenAt);
          },
        );
      }),
    );
    const incompleteOutcomes = outcomes.filter(({ isComplete }) => !isComplete);
    if (incompleteOutcomes.length > 0)
      throw new Error(incompleteOutcomes[0]?.error ?? "the stream is incomplete");
    return ((readCpuSeconds(pid) - cpuSecondsBefore) * 1_000_000) / tokenCount;
  };
  try {
    await runStreams(20);
    const cpuMicrosecondsFourStages = await runStreams(streamCount);
    await applyOnlyEngines(
      deployment,
      engines.map(({ port }) => port),
    );
    await runStreams(20);
    delays.length = 0;
    const startedAt = performance.now();
    let peakBytes = 0;
    const bytesBefore = readResidentBytes(pid);
    const memoryTimer = setInterval(() => {
      peakBytes = Math.max(peakBytes, readResidentBytes(pid));
    }, 50);
    const cpuMicrosecondsOneStage = await runStreams(streamCount);
    clearInterval(memoryTimer);
    const tokensPerSecond =
      (streamCount * tokensPerStream * 1_000) / (performance.now() - startedAt - 1_500);
    return {
      cpuMicrosecondsFourStages,
      cpuMicrosecondsOneStage,
      tokensPerSecond,
      medianDelayMilliseconds: computePercentile(delays, 0.5),
      p95DelayMilliseconds: computePercentile(delays, 0.95),
      memoryBytesPerStream: Math.max(0, peakBytes - bytesBefore) / streamCount,
    };
  } finally {
    await Promise.all(engines.map((engine) => engine.close()));
  }
}

// Replaces the engines in the settings by replicas of the whole model at `ports`.
async function applyOnlyEngines(deployment: Deployment, ports: readonly number[]): Promise<void> {
  const document = createInitialSettings(deployment) as {
    targets: Record<string, { kind: string }>;
  };
  const services = Object.entries(document.targets).filter(([, { kind }]) => kind === "service");
  const createEngineTarget = (port: number): object => ({
    kind: "engine",
    pipeline: deployment.spec.route,
    host: "127.0.0.1",
    port,
    dataCentre: "north-a",
    checksFencing: true,
    firstLayer: 0,
    endLayer: 12,
    tokensPerSecond: replicaTokensPerSecond,
    accelerator: "kind-1",
  });
  const engines = ports.map((port, index) => [`whole-${index}`, createEngineTarget(port)] as const);
  const targets = Object.fromEntries<object>([...services, ...engines]);
  const url = `http://127.0.0.1:${deployment.entryVms[0]?.controlPort ?? 0}/v1/settings/${deployment.spec.name}`;
  const body = { document: { ...document, targets }, baseRevision: 1 };
  await fetchJson(url, { method: "PUT", bearerToken: operatorKey, body });
  await delay(3_000);
}

function computePercentile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
