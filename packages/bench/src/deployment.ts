//! A small deployment of separate processes: platform, engines, services and entry
//! VMs in three data centres.
import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fetchJson } from "./fetch-json.js";
import { startRelay, type Relay } from "./relay.js";
import { freePorts, ProcessGroup, programOf, type StartedProcess } from "./processes.js";

/// An association in small: its names and the layer ranges of its engines.
export interface Shape {
  readonly name: string;
  readonly route: string;
  readonly service: string;
  readonly layers: number;
  readonly engines: readonly EngineShape[];
  readonly weighting: "throughput" | "recovery";
  readonly entryVmsPerDataCentre: number;
}

export interface EngineShape {
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly dataCentre: string;
  readonly tokensPerSecond: number;
}

export interface EntryVm {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerPort: number;
  readonly controlPort: number;
  readonly startUpFile: string;
  process: StartedProcess;
}

/// `port` is where the router reaches it: its own, or a relay's.
export interface Target {
  readonly name: string;
  readonly port: number;
  readonly ownPort: number;
  readonly relay: Relay | undefined;
  readonly process: StartedProcess;
}

export interface Deployment {
  readonly shape: Shape;
  readonly platform: StartedProcess;
  readonly engines: readonly Target[];
  readonly services: readonly Target[];
  readonly entryVms: readonly EntryVm[];
  readonly group: ProcessGroup;
  close(): Promise<void>;
}

export const dataCentres = ["north-a", "north-b", "south-c"];
export const operatorKey = "operator-key-for-trials";
export const workspaceToken = "token-of-workshop-1";
const peerKey = "peer-key-for-loopback-trials";
const resumeKey = "resume-key-for-loopback-trials";
const readyPause = 50;
const readyPatience = 20_000;
const unreadyMilliseconds = 300;

/// Starts all processes, commits the first settings and waits until every entry VM is
/// ready and knows its targets. With `relayed`, the router reaches each engine through a
/// relay.
export async function deploy(shape: Shape, relayed = false): Promise<Deployment> {
  const group = new ProcessGroup();
  const directory = await mkdtemp(join(tmpdir(), "lovagebend-"));
  const closers: (() => Promise<void>)[] = [];
  const close = async (): Promise<void> => {
    for (const closer of closers) await closer();
    await group.close();
    await rm(directory, { recursive: true, force: true });
  };
  try {
    const platform = await group.start("platform", programOf("stand-ins"), ["platform"]);
    const platformUrl = `http://127.0.0.1:${platform.ready.port ?? 0}`;
    const engines = await startEngines(shape, group, platformUrl, relayed);
    closers.push(
      ...engines.map(
        ({ relay }) =>
          async () =>
            relay?.close(),
      ),
    );
    const services = await startServices(shape, group);
    const entryVms = await startEntryVms(shape, group, platformUrl, directory);
    const deployment = { shape, platform, engines, services, entryVms, group, close };
    await commitFirstSettings(deployment);
    await awaitReady(deployment);
    return deployment;
  } catch (error) {
    await close();
    throw error;
  }
}

/// Starts an entry VM's daemon again, as a replacement with the same start-up file.
export async function restartEntryVm(deployment: Deployment, entryVm: EntryVm): Promise<void> {
  entryVm.process = await startDaemonProcess(deployment.group, entryVm.name, entryVm.startUpFile);
}

/// The settings document of the deployment's one team.
export function firstSettings(
  deployment: Pick<Deployment, "shape" | "engines" | "services">,
): object {
  const { shape, engines, services } = deployment;
  const targets = [
    ...engines.map(({ name, port }, index) => {
      const { dataCentre, firstLayer, endLayer, tokensPerSecond } =
        shape.engines[index] ?? noEngine;
      const place = { host: "127.0.0.1", port, dataCentre, checksFencing: index % 2 === 0 };
      const layers = { firstLayer, endLayer, tokensPerSecond, accelerator: `kind-${index % 3}` };
      return [name, { kind: "engine", pipeline: shape.route, ...place, ...layers }] as const;
    }),
    ...services.map(({ name, port }, index) => {
      const dataCentre = dataCentres[index % dataCentres.length];
      const place = { host: "127.0.0.1", port, dataCentre, checksFencing: false };
      return [name, { kind: "service", service: shape.service, ...place }] as const;
    }),
  ];
  return {
    routes: {
      [shape.route]: { kind: "model", pipeline: shape.route },
      [shape.service]: { kind: "service", service: shape.service, repeatable: false },
    },
    pipelines: {
      [shape.route]: { layers: shape.layers, version: "v1", weighting: shape.weighting },
    },
    targets: Object.fromEntries<object>(targets),
    workspaces: {
      "workshop-1": {
        weight: 1,
        tokenDigest: createHash("sha256").update(workspaceToken).digest("hex"),
        routes: [shape.route, shape.service],
      },
    },
    objectives: { "first-token": { route: shape.route, firstTokenMilliseconds: 470, share: 0.95 } },
  };
}

const noEngine: EngineShape = { firstLayer: 0, endLayer: 1, dataCentre: "", tokensPerSecond: 1 };

async function startEngines(
  shape: Shape,
  group: ProcessGroup,
  platformUrl: string,
  relayed: boolean,
): Promise<Target[]> {
  return Promise.all(
    shape.engines.map(async ({ firstLayer, endLayer, tokensPerSecond }, index) => {
      const name = `${shape.name}-engine-${index + 1}`;
      const started = await group.start(name, programOf("stand-ins"), [
        "engine",
        `--name=${name}`,
        `--first-layer=${firstLayer}`,
        `--end-layer=${endLayer}`,
        `--layers=${shape.layers}`,
        `--tokens-per-second=${tokensPerSecond}`,
        `--checks-fencing=${index % 2 === 0}`,
        `--platform-url=${platformUrl}`,
      ]);
      const ownPort = started.ready.port ?? 0;
      const relay = relayed ? await startRelay(ownPort) : undefined;
      return { name, port: relay?.port ?? ownPort, ownPort, relay, process: started };
    }),
  );
}

async function startServices(shape: Shape, group: ProcessGroup): Promise<Target[]> {
  return Promise.all(
    dataCentres.map(async (_, index) => {
      const name = `${shape.service}-${index + 1}`;
      const started = await group.start(name, programOf("stand-ins"), [
        "service",
        `--name=${name}`,
      ]);
      const ownPort = started.ready.port ?? 0;
      return { name, port: ownPort, ownPort, relay: undefined, process: started };
    }),
  );
}

async function startEntryVms(
  shape: Shape,
  group: ProcessGroup,
  platformUrl: string,
  directory: string,
): Promise<EntryVm[]> {
  const places = dataCentres.flatMap((dataCentre) =>
    Array.from({ length: shape.entryVmsPerDataCentre }, (_, index) => ({
      dataCentre,
      name: `${dataCentre}-${index + 1}`,
    })),
  );
  const ports = await freePorts(places.length * 2);
  const planned = places.map((place, index) => ({
    ...place,
    callerPort: ports[index * 2] ?? 0,
    controlPort: ports[index * 2 + 1] ?? 0,
  }));
  return Promise.all(
    planned.map(async (self) => {
      const peers = planned
        .filter((peer) => peer.name !== self.name)
        .map(({ name, dataCentre, controlPort }) => ({
          name,
          dataCentre,
          host: "127.0.0.1",
          port: controlPort,
        }));
      const file = {
        instance: self.name,
        dataCentre: self.dataCentre,
        callers: { host: "127.0.0.1", port: self.callerPort },
        control: { host: "127.0.0.1", port: self.controlPort },
        platformUrl,
        peers,
        keys: { peer: peerKey, resume: resumeKey },
        operators: [
          {
            name: "operator",
            keyDigest: createHash("sha256").update(operatorKey).digest("hex"),
            teams: ["*"],
          },
        ],
        unreadyMilliseconds,
      };
      const startUpFile = join(directory, `${shape.name}-${self.name}.json`);
      await writeFile(startUpFile, JSON.stringify(file));
      const started = await startDaemonProcess(group, self.name, startUpFile);
      return { ...self, startUpFile, process: started };
    }),
  );
}

function startDaemonProcess(
  group: ProcessGroup,
  name: string,
  startUpFile: string,
): Promise<StartedProcess> {
  return group.start(name, programOf("daemon"), ["--file", startUpFile]);
}

async function commitFirstSettings(deployment: Deployment): Promise<void> {
  const first = deployment.entryVms[0];
  if (first === undefined) throw new Error("a deployment has an entry VM");
  const url = `http://127.0.0.1:${first.controlPort}/v1/settings/${deployment.shape.name}`;
  const body = { document: firstSettings(deployment), baseRevision: 0 };
  const answer = await fetchJson(url, { method: "PUT", key: operatorKey, body });
  if (answer.status !== 200) throw new Error(`settings refused: ${JSON.stringify(answer.body)}`);
}

async function awaitReady(deployment: Deployment): Promise<void> {
  const wanted = deployment.engines.length + deployment.services.length;
  const deadline = performance.now() + readyPatience;
  for (const entryVm of deployment.entryVms) {
    for (;;) {
      if (performance.now() > deadline) throw new Error(`${entryVm.name} is not ready`);
      const targets = await targetStates(entryVm);
      if (targets.filter((state) => state === "serving").length === wanted) break;
      await delay(readyPause);
    }
  }
}

async function targetStates(entryVm: EntryVm): Promise<string[]> {
  const url = `http://127.0.0.1:${entryVm.controlPort}/v1/targets`;
  const answer = await fetchJson(url, { key: operatorKey });
  const { targets } = answer.body as { targets: { state: string; reportAge: number }[] };
  return targets.map(({ state }) => state);
}
