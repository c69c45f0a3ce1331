//! What control costs a node, as slopes over peers, targets and workspaces, measured on
//! whole daemons at rest, and over state, measured on the product's own values.
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
import { deploy, firstSettings, operatorKey, type Deployment, type Shape } from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { cpuSeconds, loopbackBytes, residentBytes } from "./measure-process.js";
import { ProcessGroup, programOf } from "./processes.js";
import { writingShape } from "./shapes.js";
import { fitSlope, type Slope } from "./slope.js";

const settleTime = 3_000;
const measuredTime = 8_000;
const spareTargets = 8;

interface Reading {
  readonly cpuShare: number;
  readonly bytesPerSecond: number;
  readonly memory: number;
}

/// Measures everything; takes about two minutes.
export async function measureControl(): Promise<Slope[]> {
  return [...(await daemonSlopes()), ...(await valueSlopes())];
}

async function daemonSlopes(): Promise<Slope[]> {
  const byPeers: [number, Reading][] = [];
  for (const perDataCentre of [1, 2, 4]) {
    byPeers.push([perDataCentre * 3 - 1, await measureDaemons(perDataCentre, spareTargets, 10)]);
  }
  const byTargets: [number, Reading][] = [];
  for (const targets of [8, 40, 120])
    byTargets.push([targets, await measureDaemons(1, targets, 10)]);
  const byWorkspaces: [number, Reading][] = [];
  for (const workspaces of [10, 4_000, 12_000]) {
    byWorkspaces.push([workspaces, await measureDaemons(1, spareTargets, workspaces)]);
  }
  return [
    ...slopesOf("peers", byPeers),
    ...slopesOf("targets", byTargets),
    ...slopesOf("workspaces", byWorkspaces),
    fitSlope("bare Node process, memory", "bytes", [
      [0, await bareMemory()],
      [1, await bareMemory()],
    ]),
  ];
}

function slopesOf(over: string, readings: readonly (readonly [number, Reading])[]): Slope[] {
  const points = (pick: (reading: Reading) => number): [number, number][] =>
    readings.map(([size, reading]) => [size, pick(reading)]);
  return [
    fitSlope(
      `daemon at rest, processor over ${over}`,
      "share of a core",
      points(({ cpuShare }) => cpuShare),
    ),
    fitSlope(
      `daemon at rest, network over ${over}`,
      "bytes a second",
      points(({ bytesPerSecond }) => bytesPerSecond),
    ),
    fitSlope(
      `daemon at rest, memory over ${over}`,
      "bytes",
      points(({ memory }) => memory),
    ),
  ];
}

async function measureDaemons(
  perDataCentre: number,
  targets: number,
  workspaces: number,
): Promise<Reading> {
  const shape: Shape = { ...writingShape, entryVmsPerDataCentre: perDataCentre };
  const deployment = await deploy(shape);
  try {
    await enlarge(deployment, targets, workspaces);
    await delay(settleTime);
    const pids = deployment.entryVms.map(({ process }) => process.child.pid ?? 0);
    const cpu = (): number => pids.reduce((sum, pid) => sum + cpuSeconds(pid), 0);
    const before = { cpu: cpu(), bytes: loopbackBytes() };
    await delay(measuredTime);
    const seconds = measuredTime / 1_000;
    return {
      cpuShare: (cpu() - before.cpu) / seconds / pids.length,
      bytesPerSecond: (loopbackBytes() - before.bytes) / seconds / pids.length,
      memory: pids.reduce((sum, pid) => sum + residentBytes(pid), 0) / pids.length,
    };
  } finally {
    await deployment.close();
  }
}

// Further targets share the ports of those that run.
async function enlarge(deployment: Deployment, targets: number, workspaces: number): Promise<void> {
  const document = firstSettings(deployment) as {
    targets: Record<string, object>;
    workspaces: object;
  };
  const first = Object.entries(document.targets).slice(0, spareTargets);
  const more = Array.from({ length: Math.max(0, targets - spareTargets) }, (_, index) => {
    const [, target] = first[index % first.length] ?? ["", {}];
    return [`more-${index}`, target] as const;
  });
  const enlarged = {
    ...document,
    targets: { ...document.targets, ...Object.fromEntries(more) },
    workspaces: { ...document.workspaces, ...drawWorkspaces(workspaces, deployment.shape.route) },
  };
  const entryVm = deployment.entryVms[0];
  const url = `http://127.0.0.1:${entryVm?.controlPort ?? 0}/v1/settings/${deployment.shape.name}`;
  const body = { document: enlarged, baseRevision: 1 };
  const answer = await fetchJson(url, { method: "PUT", key: operatorKey, body });
  if (answer.status !== 200) throw new Error(JSON.stringify(answer.body));
}

function drawWorkspaces(count: number, route: string): Record<string, object> {
  const list = Array.from({ length: count }, (_, index) => {
    const tokenDigest = createHash("sha256").update(`token ${index}`).digest("hex");
    return [`more-${index}`, { weight: 1, tokenDigest, routes: [route] }] as const;
  });
  return Object.fromEntries(list);
}

async function bareMemory(): Promise<number> {
  const group = new ProcessGroup();
  try {
    const started = await group.start(
      "bare",
      programOf("bench").replace(/main\.js$/, "bare.js"),
      [],
    );
    await delay(1_000);
    return residentBytes(started.child.pid ?? 0);
  } finally {
    await group.close();
  }
}

async function valueSlopes(): Promise<Slope[]> {
  return [
    overSizes("settings view, time over workspaces", "ms", [2_000, 6_000, 12_000], (size) => {
      const state = stateWith(size);
      return timeOf(() => mergeView(state), 3);
    }),
    overSizes(
      "settings state and view, memory over workspaces",
      "bytes",
      [5_000, 15_000, 45_000],
      (size) =>
        memoryOf(() => {
          const state = SettingsState.of(
            1,
            JSON.parse(JSON.stringify([...stateWith(size).teams.values()])) as never,
          );
          return [state, mergeView(state)];
        }),
    ),
    overSizes("choosing a path, time over targets", "ms", [50, 150, 450], (size) => {
      const targets = drawTargets(size);
      return timeOf(() => choosePath(targets, { firstLayer: 0, endLayer: 24 }), 300);
    }),
    overSizes("building a fleet view, time over targets", "ms", [50, 150, 450], (size) => {
      const targets = drawTargets(size);
      return timeOf(
        () => FleetView.of(targets.map((target) => ({ ...target }))).getServingTargets("model"),
        300,
      );
    }),
    overSizes("sharing out, time over demands", "ms", [200, 1_000, 4_000], (size) => {
      const demands = Array.from({ length: size }, (_, index) => ({
        workspace: `w-${index % (size / 2)}`,
        entryVm: `e-${index % 26}`,
        tokensPerSecond: index,
      }));
      return timeOf(() => allocateCapacity("e-1", demands, new Map(), 10_000), 50);
    }),
    overSizes("prefix index, memory over keys", "bytes", [10_000, 40_000, 120_000], (size) =>
      memoryOf(() => {
        const index = new PrefixIndex();
        for (let place = 0; place < size; place += 1) {
          const key = createHash("sha1").update(String(place)).digest("base64url").slice(0, 16);
          const sequence = Math.floor(place / 150) + 1;
          index.record(`target-${place % 150}`, [{ sequence, kind: "stored", key }]);
        }
        return index;
      }),
    ),
    overSizes("burn counts, memory over series", "bytes", [500, 2_000, 6_000], (size) =>
      memoryOf(() => {
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
    await claimSlope(),
  ];
}

// Transactions a second that claims and verdicts take, over the rate of bookings, with
// a store that answers after ten milliseconds.
async function claimSlope(): Promise<Slope> {
  const points: [number, number][] = [];
  for (const perSecond of [50, 200, 800, 2_000]) {
    let transactions = 0;
    const table = {
      read: (keys: readonly string[]) => delay(10).then(() => readNone(keys)),
      scan: () => delay(10).then(() => readNone([])),
      transact: async () => {
        transactions += 1;
        await delay(10);
        return { kind: "committed" as const };
      },
    };
    const ledger = new ClaimStore({
      table: table as never,
      clock: systemClock,
      holder: "entry",
      createNonce: () => "nonce",
    });
    const begin = performance.now();
    const open: Promise<unknown>[] = [];
    for (let count = 0; count < perSecond * 2; count += 1) {
      const due = (count * 1_000) / perSecond - (performance.now() - begin);
      if (due > 1) await delay(due);
      const deadline = systemClock.monotonicTime() + 5_000;
      open.push(ledger.claim({ key: `claims/${count}`, requestDigest: "", deadline }));
    }
    await Promise.all(open);
    points.push([perSecond, (transactions * 1_000) / (performance.now() - begin)]);
  }
  return fitSlope(
    "transactions over claims a second, one entry VM",
    "transactions a second",
    points,
  );
}

function readNone(keys: readonly string[]) {
  return { isOk: true, isErr: false, value: keys.map(() => undefined) };
}

function overSizes(
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

function timeOf(run: () => unknown, times: number): number {
  run();
  const begin = performance.now();
  for (let count = 0; count < times; count += 1) run();
  return (performance.now() - begin) / times;
}

function memoryOf(build: () => unknown): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const built = build();
  collect();
  const used = process.memoryUsage().heapUsed - before;
  // Kept alive until it has been measured.
  if (built === undefined) throw new Error("nothing was built");
  return used;
}

function stateWith(workspaces: number): SettingsState {
  const document = {
    pipelines: { advice: { layers: 24, version: "v1" } },
    routes: { advice: { kind: "model", pipeline: "advice" } },
    workspaces: drawWorkspaces(workspaces, "advice"),
  };
  return SettingsState.of(1, [
    { revision: 1, team: "t", author: "", time: "", nonce: "", document },
  ]);
}

function drawTargets(count: number): TargetView[] {
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
