//! Recovery after failures, on whole processes: how long callers wait for their next
//! token, how soon the earlier throughput is back, what was recomputed.
import { computeReferenceAnswer } from "@lovagebend/stand-ins";
import { setTimeout as delay } from "node:timers/promises";
import { round, type BenchResult } from "./bench-result.js";
import { chat } from "./chat-caller.js";
import { deploy, workspaceToken, type Deployment } from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { writingShape } from "./shapes.js";

const streams = 24;
const mostTokens = 120;
const slowness = 20;
const triggerAfter = 2_000;
const noticeLimit = 900;
const goalGap = 2 * noticeLimit;
const rateWindow = 500;
const normalShare = 0.95;

interface Stream {
  readonly times: number[];
  tokens: number[];
  whole: boolean;
}

interface Reading {
  readonly longestGap: number;
  readonly restart: number;
  readonly backAfter: number;
  readonly recomputed: number;
  readonly lost: number;
}

type Failure = (deployment: Deployment) => void;

const failures: ReadonlyMap<string, Failure> = new Map<string, Failure>([
  ["stageDies", ({ engines }) => engines[2]?.process.child.kill("SIGKILL")],
  ["stageFreezes", ({ engines }) => engines[2]?.process.child.kill("SIGSTOP")],
  [
    "connectionsGoSilent",
    ({ engines }) => {
      engines[2]?.relay?.silenceOpen();
      engines[3]?.relay?.silenceOpen();
    },
  ],
  ["entryVmDies", ({ entryVms }) => entryVms[2]?.process.child.kill("SIGKILL")],
  [
    "dataCentreDies",
    ({ engines, entryVms, shape }) => {
      entryVms[2]?.process.child.kill("SIGKILL");
      engines.forEach(({ process }, index) => {
        if (shape.engines[index]?.dataCentre === entryVms[2]?.dataCentre)
          process.child.kill("SIGKILL");
      });
    },
  ],
]);

export async function benchRecovery(seed: number): Promise<BenchResult> {
  const figures: Record<string, number> = {};
  let worst = 0;
  let restart = 0;
  let lost = 0;
  for (const [name, failure] of failures) {
    const reading = await measure(failure);
    worst = Math.max(worst, reading.longestGap);
    restart = Math.max(restart, reading.restart);
    lost += reading.lost;
    figures[`${name}: longest wait for the next token, ms`] = round(reading.longestGap, 0);
    figures[`${name}: 95% of the throughput after, ms`] = round(reading.backAfter, 0);
    figures[`${name}: positions recomputed`] = reading.recomputed;
    figures[`${name}: answers lost`] = reading.lost;
  }
  return {
    bench: "recovery",
    seed,
    ratio: round(goalGap / worst),
    baselineRatio: round(goalGap / restart),
    goal: `next token within ${goalGap} ms (ratio at least 1), no answer lost; the plain way asks again from the start`,
    met: worst <= goalGap && lost === 0,
    figures,
  };
}

async function measure(failure: Failure): Promise<Reading> {
  const shape = { ...writingShape, entryVmsPerDataCentre: 1 };
  const deployment = await deploy(shape, true);
  try {
    for (const { ownPort } of deployment.engines) {
      await fetchJson(`http://127.0.0.1:${ownPort}/control`, {
        method: "POST",
        body: { slowness },
      });
    }
    const running = Array.from({ length: streams }, (_, index) => follow(deployment, index));
    await delay(triggerAfter);
    const at = performance.now();
    failure(deployment);
    const done = await Promise.all(running);
    const recomputed = await countRecomputed(deployment);
    return summarise(done, at, recomputed);
  } finally {
    await deployment.close();
  }
}

// A caller that resumes at the next entry VM when its own has died.
async function follow(deployment: Deployment, index: number): Promise<Stream> {
  const prompt = `a care leaflet for shade ${index}`;
  const stream: Stream = { times: [], tokens: [], whole: false };
  let resume: { token: string; tokens: readonly number[] } | undefined;
  for (let attempt = 0; attempt < 5 && !stream.whole; attempt += 1) {
    const entryVm = deployment.entryVms[(index + attempt) % deployment.entryVms.length];
    const request = {
      port: entryVm?.callerPort ?? 0,
      token: workspaceToken,
      route: deployment.shape.route,
      prompt,
      mostTokens,
      ...(resume === undefined ? {} : { resume }),
    };
    const outcome = await chat(request, () => stream.times.push(performance.now()));
    stream.tokens = [...stream.tokens, ...outcome.tokens];
    if (outcome.tokens.length > 0) resume = { token: outcome.resumeToken, tokens: stream.tokens };
    const wanted = computeReferenceAnswer(prompt, deployment.shape.layers, mostTokens);
    stream.whole = outcome.ended && JSON.stringify(wanted) === JSON.stringify(stream.tokens);
  }
  return stream;
}

function summarise(done: readonly Stream[], at: number, recomputed: number): Reading {
  const gaps = done.map(({ times }) => gapAround(times, at));
  const intervals = done.flatMap(({ times }) => differences(times.filter((time) => time < at)));
  const mean = intervals.reduce((sum, value) => sum + value, 0) / Math.max(1, intervals.length);
  const before = done.map(({ times }) => times.filter((time) => time < at).length);
  const all = done.flatMap(({ times }) => times);
  const rate = all.filter((time) => time >= at - rateWindow && time < at).length;
  let backAfter = 0;
  for (let end = at + rateWindow; end < at + 10_000; end += 50) {
    const now = all.filter((time) => time >= end - rateWindow && time < end).length;
    if (now >= rate * normalShare) {
      backAfter = end - rateWindow - at;
      break;
    }
  }
  return {
    longestGap: Math.max(...gaps),
    restart: noticeLimit + Math.max(...before) * mean,
    backAfter,
    recomputed,
    lost: done.filter(({ whole }) => !whole).length,
  };
}

function gapAround(times: readonly number[], at: number): number {
  const last = times.filter((time) => time < at).at(-1) ?? at;
  const after = [last, ...times.filter((time) => time >= at)];
  return Math.max(0, ...differences(after));
}

function differences(times: readonly number[]): number[] {
  return times.slice(1).map((time, index) => time - (times[index] ?? time));
}

async function countRecomputed(deployment: Deployment): Promise<number> {
  const living = deployment.engines.filter(({ process }) => process.child.signalCode === null);
  for (const { process } of living) process.child.kill("SIGCONT");
  const records = await Promise.all(
    living.map(({ ownPort }) => fetchJson(`http://127.0.0.1:${ownPort}/record`)),
  );
  const runs = records.flatMap(
    ({ body }) => (body as { runs: { purpose: string; from: number; end: number }[] }).runs,
  );
  return runs
    .filter(({ purpose }) => purpose === "recompute")
    .reduce((sum, { from, end }) => sum + end - from, 0);
}
