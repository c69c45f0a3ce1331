//! Measures the cost of the control plane as linear slopes: CPU, network and memory of idle
//! daemons over the numbers of peers, targets and workspaces, and time and memory of the
//! product's data structures over their size.
import { BurnCounts } from "@lovagebend/burn";
import { ClaimStore } from "@lovagebend/claims";
import { systemClock } from "@lovagebend/common";
import { allocateCapacity } from "@lovagebend/limits";
import { FleetView, TargetState, type TargetView } from "@lovagebend/membership";
import { choosePath, PrefixIndex } from "@lovagebend/routing";
import { mergeView, SettingsState } from "@lovagebend/settings";
import { createHash } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  deploy,
  createInitialSettings,
  operatorKey,
  type Deployment,
  type DeploymentSpec,
} from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { readCpuSeconds, readLoopbackBytes, readResidentBytes } from "./measure-process.js";
import { ProcessGroup, resolveProgram } from "./processes.js";
import { writingSpec } from "./deployment-specs.js";
import { fitSlope, type Slope } from "./slope.js";

const settleMilliseconds = 3_000;
const measuredMilliseconds = 8_000;
const initialTargetCount = 8;

/// The mean usage of one daemon. `cpuShare` is a share of one core.
interface Measurement {
  readonly cpuShare: number;
  readonly bytesPerSecond: number;
  readonly memoryBytes: number;
}

/// Runs all measurements, which takes about two minutes.
export async function measureControl(): Promise<Slope[]> {
  return [...(await measureDaemonSlopes()), ...(await measureDataStructureSlopes())];
}

async function measureDaemonSlopes(): Promise<Slope[]> {
  const byPeers: [number, Measurement][] = [];
  for (const entryVmsPerDataCentre of [1, 2, 4]) {
    byPeers.push([
      entryVmsPerDataCentre * 3 - 1,
      await measureDaemonsAtRest(entryVmsPerDataCentre, initialTargetCount, 10),
    ]);
  }
  const byTargets: [number, Measurement][] = [];
  for (const targets of [8, 40, 120])
    byTargets.push([targets, await measureDaemonsAtRest(1, targets, 10)]);
  const byWorkspaces: [number, Measurement][] = [];
  for (const workspaces of [10, 4_000, 12_000]) {
    byWorkspaces.push([workspaces, await measureDaemonsAtRest(1, initialTargetCount, workspaces)]);
  }
  return [
    ...fitSlopes("peers", byPeers),
    ...fitSlopes("targets", byTargets),
    ...fitSlopes("workspaces", byWorkspaces),
    fitSlope("bare Node process, memory", "bytes", [
      [0, await measureIdleProcessBytes()],
      [1, await measureIdleProcessBytes()],
    ]),
  ];
}

function fitSlopes(
  dimension: string,
  measurements: readonly (readonly [number, Measurement])[],
): Slope[] {
  const points = (select: (measurement: Measurement) => number): [number, number][] =>
    measurements.map(([size, measurement]) => [size, select(measurement)]);
  return [
    fitSlope(
      `daemon at rest, processor over ${dimension}`,
      "share of a core",
      points(({ cpuShare }) => cpuShare),
    ),
    fitSlope(
      `daemon at rest, network over ${dimension}`,
      "bytes a second",
      points(({ bytesPerSecond }) => bytesPerSecond),
    ),
    fitSlope(
      `daemon at rest, memory over ${dimension}`,
      "bytes",
      points(({ memoryBytes }) => memoryBytes),
    ),
  ];
}

async function measureDaemonsAtRest(
  entryVmsPerDataCentre: number,
  targets: number,
  workspaces: number,
): Promise<Measurement> {
  const spec: DeploymentSpec = { ...writingSpec, entryVmsPerDataCentre };
  const deployment = await deploy(spec);
  try {
    await addTargetsAndWorkspaces(deployment, targets, workspaces);
    await delay(settleMilliseconds);
    const pids = deployment.entryVms.map(({ process }) => process.child.pid ?? 0);
    const readTotalCpuSeconds = (): number =>
      pids.reduce((sum, pid) => sum + readCpuSeconds(pid), 0);
    const before = { cpu: readTotalCpuSeconds(), bytes: readLoopbackBytes() };
    await delay(measuredMilliseconds);
    const seconds = measuredMilliseconds / 1_000;
    return {
      cpuShare: (readTotalCpuSeconds() - before.cpu) / seconds / pids.length,
      bytesPerSecond: (readLoopbackBytes() - before.bytes) / seconds / pids.length,
      memoryBytes: pids.reduce((sum, pid) => sum + readResidentBytes(pid), 0) / pids.length,
    };
  } finally {
    await deployment.close();
  }
}

// Adds targets and workspaces to the settings. The additional targets share the ports of the
// running engines.
async function addTargetsAndWorkspaces(
  deployment: Deployment,
  targets: number,
  workspaces: number,
): Promise<void> {
  const document = createInitialSettings(deployment) as {
    targets: Record<string, object>;
    workspaces: object;
  };
  const templates = Object.entries(document.targets).slice(0, initialTargetCount);
  const additionalTargets = Array.from(
    { length: Math.max(0, targets - initialTargetCount) },
    (_, index) => {
      const [, target] = templates[index % templates.length] ?? ["", {}];
      return [`more-${index}`, target] as const;
    },
  );
  const enlargedDocument = {
    ...document,
    targets: { ...document.targets, ...Object.fromEntries(additionalTargets) },
    workspaces: {
      ...document.workspaces,
      ...createWorkspaceSettings(workspaces, deployment.spec.route),
    },
  };
  const entryVm = deployment.entryVms[0];
  const url = `http://127.0.0.1:${entryVm?.controlPort ?? 0}/v1/settings/${deployment.spec.name}`;
  const body = { document: enlargedDocument, baseRevision: 1 };
  const response = await fetchJson(url, { method: "PUT", bearerToken: operatorKey, body });
  if (response.status !== 200) throw new Error(JSON.stringify(response.body));
}

function createWorkspaceSettings(count: number, route: string): Record<string, object> {
  const workspaces = Array.from({ length: count }, (_, index) => {
    const tokenDigest = createHash("sha256").update(`token ${index}`).digest("hex");
    return [`more-${index}`, { weight: 1, tokenDigest, routes: [route] }] as const;
  });
  return Object.fromEntries(workspaces);
}

async function measureIdleProcessBytes(): Promise<number> {
  const group = new ProcessGroup();
  try {
    const started = await group.start(
      "bare",
      resolveProgram("bench").replace(/main\.js$/, "idle-process.js"),
      [],
    );
    await delay(1_000);
    return readResidentBytes(started.child.pid ?? 0);
  } finally {
    await group.close();
  }
}

async function measureDataStructureSlopes(): Promise<Slope[]> {
  return [
    fitOverSizes("settings view, time over workspaces", "ms", [2_000, 6_000, 12_000], (size) => {
      const state = createSettingsState(size);
      return measureMeanMilliseconds(() => mergeView(state), 3);
    }),
    fitOverSizes(
      "settings state and view, memory over workspaces",
      "bytes",
      [5_000, 15_000, 45_000],
      (size) =>
        measureHeapBytes(() => {
          const state = SettingsState.of(
            1,
            JSON.parse(JSON.stringify([...createSettingsState(size).teams.values()])) as never,
          );
          return [state, mergeView(state)];
        }),
    ),
    fitOverSizes("choosing a path, time over targets", "ms", [50, 150, 450], (size) => {
      const targets = createTargetViews(size);
      return measureMeanMilliseconds(
        () => choosePath(targets, { firstLayer: 0, endLayer: 24 }),
        300,
      );
    }),
    fitOverSizes("building a fleet view, time over targets", "ms", [50, 150, 450], (size) => {
      const targets = createTargetViews(size);
      return measureMeanMilliseconds(
        () => FleetView.of(targets.map((target) => ({ ...target }))).getServingTargets("model"),
        300,
      );
    }),
    fitOverSizes("sharing out, time over demands", "ms", [200, 1_000, 4_000], (size) => {
      const demands = Array.from({ length: size }, (_, index) => ({
        workspace: `w-${index % (size / 2)}`,
        entryVm: `e-${index % 26}`,
        tokensPerSecond: index,
      }));
      return measureMeanMilliseconds(() => allocateCapacity("e-1", demands, new Map(), 10_000), 50);
    }),
    fitOverSizes("prefix index, memory over keys", "bytes", [10_000, 40_000, 120_000], (size) =>
      measureHeapBytes(() => {
        const index = new PrefixIndex();
        for (let keyIndex = 0; keyIndex < size; keyIndex += 1) {
          const key = createHash("sha1").update(String(keyIndex)).digest("base64url").slice(0, 16);
          const sequence = Math.floor(keyIndex / 150) + 1;
          index.record(`target-${keyIndex % 150}`, [{ sequence, kind: "stored", key }]);
        }
        return index;
      }),
    ),
    fitOverSizes("burn counts, memory over series", "bytes", [500, 2_000, 6_000], (size) =>
      measureHeapBytes(() => {
        const counts = new BurnCounts();
        for (let series = 0; series < size; series += 1) {
          for (let minute = 0; minute < 5; minute += 1) {
            const outcome = {
              workspace: `w-${series}`,
              objective: "o",
              good: true,
              firstTokenMilliseconds: 100,
            };
            counts.record(outcome, minute * 60_000);
          }
        }
        return counts;
      }),
    ),
    await measureClaimSlope(),
  ];
}

// Measures the transactions a second that claims take, over the rate of claims, with a store
// that answers after ten milliseconds.
async function measureClaimSlope(): Promise<Slope> {
  const points: [number, number][] = [];
  for (const claimsPerSecond of [50, 200, 800, 2_000]) {
    let transactions = 0;
    const table = {
      read: (keys: readonly string[]) => delay(10).then(() => createEmptyReadResult(keys)),
      scan: () => delay(10).then(() => createEmptyReadResult([])),
      transact: async () => {
        transactions += 1;
        await delay(10);
        return { kind: "committed" as const };
      },
    };
    const claimStore = new ClaimStore({
      table: table as never,
      clock: systemClock,
      holder: "entry",
      createNonce: () => "nonce",
    });
    const startedAt = performance.now();
    const pendingClaims: Promise<unknown>[] = [];
    for (let count = 0; count < claimsPerSecond * 2; count += 1) {
      const remainingMilliseconds =
        (count * 1_000) / claimsPerSecond - (performance.now() - startedAt);
      if (remainingMilliseconds > 1) await delay(remainingMilliseconds);
      const deadline = systemClock.monotonicTime() + 5_000;
      pendingClaims.push(claimStore.claim({ key: `claims/${count}`, requestDigest: "", deadline }));
    }
    await Promise.all(pendingClaims);
    points.push([claimsPerSecond, (transactions * 1_000) / (performance.now() - startedAt)]);
  }
  return fitSlope(
    "transactions over claims a second, one entry VM",
    "transactions a second",
    points,
  );
}

function createEmptyReadResult(keys: readonly string[]) {
  return { isOk: true, isErr: false, value: keys.map(() => undefined) };
}

function fitOverSizes(
  name: string,
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  return fitSlope(
    name,
    unit,
    sizes.map((size) => [size, measure(size)] as const),
  );
}

function measureMeanMilliseconds(run: () => unknown, repetitions: number): number {
  run();
  const startedAt = performance.now();
  for (let count = 0; count < repetitions; count += 1) run();
  return (performance.now() - startedAt) / repetitions;
}

function measureHeapBytes(build: () => unknown): number {
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  collectGarbage();
  const bytesBefore = process.memoryUsage().heapUsed;
  const retained = build();
  collectGarbage();
  const heapBytes = process.memoryUsage().heapUsed - bytesBefore;
  // This use keeps the value reachable during the second garbage collection.
  if (retained === undefined) throw new Error("build returned no value to measure");
  return heapBytes;
}

function createSettingsState(workspaces: number): SettingsState {
  const document = {
    pipelines: { advice: { layers: 24, version: "v1" } },
    routes: { advice: { kind: "model", pipeline: "advice" } },
    workspaces: createWorkspaceSettings(workspaces, "advice"),
  };
  return SettingsState.of(1, [
    { revision: 1, team: "t", author: "", time: "", nonce: "", document },
  ]);
}

function createTargetViews(count: number): TargetView[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `target-${index}`,
    group: "model",
    dataCentre: "north-a",
    firstLayer: (index % 4) * 6,
    endLayer: (index % 4) * 6 + 6,
    tokensPerSecond: 100 + index,
    latency: 1,
    state: TargetState.Serving,
    load: { queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving: false },
    reportAge: 0,
    openAnswers: index % 7,
  }));
}
