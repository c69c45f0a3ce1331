//! Benchmark of recovery from failures on real processes: the maximum wait of a caller for its
//! next token, the time until the throughput is back, and the positions that are recomputed.
//! The baseline is an estimate: the answer is generated again after the failure is detected.
import { computeReferenceAnswer } from "@lovagebend/stand-ins";
import { setTimeout as delay } from "node:timers/promises";
import { round, type BenchResult } from "./bench-result.js";
import { chat } from "./chat-caller.js";
import { deploy, workspaceToken, type Deployment } from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { writingSpec } from "./deployment-specs.js";

const streamCount = 24;
const maximumTokens = 120;
const slowness = 20;
const failureDelayMilliseconds = 2_000;
const maximumDetectionMilliseconds = 900;
const goalGapMilliseconds = 2 * maximumDetectionMilliseconds;
const rateWindowMilliseconds = 500;
const recoveredRateRatio = 0.95;

interface Stream {
  readonly tokenTimes: number[];
  tokens: number[];
  isComplete: boolean;
}

/// Gaps and times are in milliseconds. `restartGap` is the estimated wait of a caller whose
/// answer starts again from its first token after the failure is detected. `recoveredAfter` is
/// 0 also when the throughput does not recover within ten seconds.
interface Measurement {
  readonly maximumGap: number;
  readonly restartGap: number;
  readonly recoveredAfter: number;
  readonly recomputedPositions: number;
  readonly lostAnswers: number;
}

type InjectFailure = (deployment: Deployment) => void;

const failureInjectors: ReadonlyMap<string, InjectFailure> = new Map<string, InjectFailure>([
  ["stageDies", ({ engines }) => engines[2]?.process.child.kill("SIGKILL")],
  ["stageFreezes", ({ engines }) => engines[2]?.process.child.kill("SIGSTOP")],
  [
    "connectionsGoSilent",
    ({ engines }) => {
      engines[2]?.proxy?.silenceOpenConnections();
      engines[3]?.proxy?.silenceOpenConnections();
    },
  ],
  ["entryVmDies", ({ entryVms }) => entryVms[2]?.process.child.kill("SIGKILL")],
  [
    "dataCentreDies",
    ({ engines, entryVms, spec }) => {
      entryVms[2]?.process.child.kill("SIGKILL");
      engines.forEach(({ process }, index) => {
        if (spec.engines[index]?.dataCentre === entryVms[2]?.dataCentre)
          process.child.kill("SIGKILL");
      });
    },
  ],
]);

export async function benchRecovery(seed: number): Promise<BenchResult> {
  const figures: Record<string, number> = {};
  let maximumGap = 0;
  let maximumRestartGap = 0;
  let lostAnswers = 0;
  for (const [name, injectFailure] of failureInjectors) {
    const measurement = await measureFailure(injectFailure);
    maximumGap = Math.max(maximumGap, measurement.maximumGap);
    maximumRestartGap = Math.max(maximumRestartGap, measurement.restartGap);
    lostAnswers += measurement.lostAnswers;
    figures[`${name}: longest wait for the next token, ms`] = round(measurement.maximumGap, 0);
    figures[`${name}: 95% of the throughput after, ms`] = round(measurement.recoveredAfter, 0);
    figures[`${name}: positions recomputed`] = measurement.recomputedPositions;
    figures[`${name}: answers lost`] = measurement.lostAnswers;
  }
  return {
    bench: "recovery",
    seed,
    ratio: round(goalGapMilliseconds / maximumGap),
    baselineRatio: round(goalGapMilliseconds / maximumRestartGap),
    goal: `next token within ${goalGapMilliseconds} ms (ratio at least 1), no answer lost; the baseline generates the answer again from the start`,
    met: maximumGap <= goalGapMilliseconds && lostAnswers === 0,
    figures,
  };
}

async function measureFailure(injectFailure: InjectFailure): Promise<Measurement> {
  const spec = { ...writingSpec, entryVmsPerDataCentre: 1 };
  const deployment = await deploy(spec, true);
  try {
    for (const { directPort } of deployment.engines) {
      await fetchJson(`http://127.0.0.1:${directPort}/control`, {
        method: "POST",
        body: { slowness },
      });
    }
    const pendingStreams = Array.from({ length: streamCount }, (_, index) =>
      streamWithResume(deployment, index),
    );
    await delay(failureDelayMilliseconds);
    const failedAt = performance.now();
    injectFailure(deployment);
    const streams = await Promise.all(pendingStreams);
    const recomputedPositions = await countRecomputedPositions(deployment);
    return summariseStreams(streams, failedAt, recomputedPositions);
  } finally {
    await deployment.close();
  }
}

// Streams an answer as a caller that resumes at the next entry VM when the stream breaks off.
async function streamWithResume(deployment: Deployment, index: number): Promise<Stream> {
  const prompt = `a care leaflet for shade ${index}`;
  const stream: Stream = { tokenTimes: [], tokens: [], isComplete: false };
  let resume: { token: string; tokens: readonly number[] } | undefined;
  for (let attempt = 0; attempt < 5 && !stream.isComplete; attempt += 1) {
    const entryVm = deployment.entryVms[(index + attempt) % deployment.entryVms.length];
    const request = {
      port: entryVm?.callerPort ?? 0,
      bearerToken: workspaceToken,
      route: deployment.spec.route,
      prompt,
      maximumTokens,
      ...(resume === undefined ? {} : { resume }),
    };
    const outcome = await chat(request, () => stream.tokenTimes.push(performance.now()));
    stream.tokens = [...stream.tokens, ...outcome.tokens];
    if (outcome.tokens.length > 0) resume = { token: outcome.resumeToken, tokens: stream.tokens };
    const expectedTokens = computeReferenceAnswer(prompt, deployment.spec.layers, maximumTokens);
    stream.isComplete =
      outcome.isComplete && JSON.stringify(expectedTokens) === JSON.stringify(stream.tokens);
  }
  return stream;
}

function summariseStreams(
  streams: readonly Stream[],
  failedAt: number,
  recomputedPositions: number,
): Measurement {
  const maximumGaps = streams.map(({ tokenTimes }) => findMaximumGap(tokenTimes, failedAt));
  const tokenIntervals = streams.flatMap(({ tokenTimes }) =>
    computeDifferences(tokenTimes.filter((time) => time < failedAt)),
  );
  const meanInterval =
    tokenIntervals.reduce((sum, value) => sum + value, 0) / Math.max(1, tokenIntervals.length);
  const tokensBefore = streams.map(
    ({ tokenTimes }) => tokenTimes.filter((time) => time < failedAt).length,
  );
  const allTokenTimes = streams.flatMap(({ tokenTimes }) => tokenTimes);
  const rateBefore = allTokenTimes.filter(
    (time) => time >= failedAt - rateWindowMilliseconds && time < failedAt,
  ).length;
  let recoveredAfter = 0;
  for (
    let windowEnd = failedAt + rateWindowMilliseconds;
    windowEnd < failedAt + 10_000;
    windowEnd += 50
  ) {
    const rateNow = allTokenTimes.filter(
      (time) => time >= windowEnd - rateWindowMilliseconds && time < windowEnd,
    ).length;
    if (rateNow >= rateBefore * recoveredRateRatio) {
      recoveredAfter = windowEnd - rateWindowMilliseconds - failedAt;
      break;
    }
  }
  return {
    maximumGap: Math.max(...maximumGaps),
    restartGap: maximumDetectionMilliseconds + Math.max(...tokensBefore) * meanInterval,
    recoveredAfter,
    recomputedPositions,
    lostAnswers: streams.filter(({ isComplete }) => !isComplete).length,
  };
}

// Returns the maximum time between tokens, from the last token before the failure onwards.
function findMaximumGap(tokenTimes: readonly number[], failedAt: number): number {
  const lastBefore = tokenTimes.filter((time) => time < failedAt).at(-1) ?? failedAt;
  const timesFromLast = [lastBefore, ...tokenTimes.filter((time) => time >= failedAt)];
  return Math.max(0, ...computeDifferences(timesFromLast));
}

function computeDifferences(times: readonly number[]): number[] {
  return times.slice(1).map((time, index) => time - (times[index] ?? time));
}

// Resumes frozen engines first, so that they answer the request for their record.
async function countRecomputedPositions(deployment: Deployment): Promise<number> {
  const livingEngines = deployment.engines.filter(
    ({ process }) => process.child.signalCode === null,
  );
  for (const { process } of livingEngines) process.child.kill("SIGCONT");
  const records = await Promise.all(
    livingEngines.map(({ directPort }) => fetchJson(`http://127.0.0.1:${directPort}/record`)),
  );
  const runs = records.flatMap(
    ({ body }) => (body as { runs: { purpose: string; from: number; end: number }[] }).runs,
  );
  return runs
    .filter(({ purpose }) => purpose === "recompute")
    .reduce((sum, { from, end }) => sum + end - from, 0);
}
