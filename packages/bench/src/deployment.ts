//! Starts a small deployment of separate processes on loopback: the platform, engines and
//! services as stand-ins, and real entry VMs, in three data centres.
import { reservePorts } from "@lovagebend/stand-ins";
import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fetchJson } from "./fetch-json.js";
import { startLoopbackProxy, type LoopbackProxy } from "./loopback-proxy.js";
import { ProcessGroup, resolveProgram, type StartedProcess } from "./processes.js";

/// The specification of a small association: its names, its engines and their layer ranges.
export interface DeploymentSpec {
  readonly name: string;
  readonly route: string;
  readonly service: string;
  readonly layers: number;
  readonly engines: readonly EngineSpec[];
  readonly weighting: "throughput" | "recovery";
  readonly entryVmsPerDataCentre: number;
}

export interface EngineSpec {
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

/// An engine or a service. `directPort` is the port of the process itself; `port` is the one
/// that the router connects to, which is the proxy's port when there is a proxy.
export interface Target {
  readonly name: string;
  readonly port: number;
  readonly directPort: number;
  readonly proxy: LoopbackProxy | undefined;
  readonly process: StartedProcess;
}

export interface Deployment {
  readonly spec: DeploymentSpec;
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
const readyPollMilliseconds = 50;
const readyTimeoutMilliseconds = 20_000;
const unreadyMilliseconds = 300;

/// Starts all processes, commits the initial settings and waits until every entry VM lists
/// all targets as serving. With `usesProxies`, the router connects to each engine through a
/// loopback proxy.
export async function deploy(spec: DeploymentSpec, usesProxies = false): Promise<Deployment> {
  const group = new ProcessGroup();
  const directory = await mkdtemp(join(tmpdir(), "lovagebend-"));
  const closeFunctions: (() => Promise<void>)[] = [];
  const close = async (): Promise<void> => {
    for (const closeFunction of closeFunctions) await closeFunction();
    await group.close();
    await rm(directory, { recursive: true, force: true });
  };
  try {
    const platform = await group.start("platform", resolveProgram("stand-ins"), ["platform"]);
    const platformUrl = `http://127.0.0.1:${platform.readyMessage.port ?? 0}`;
    const engines = await startEngines(spec, group, platformUrl, usesProxies);
    closeFunctions.push(
      ...engines.map(
        ({ proxy }) =>
          async () =>
            proxy?.close(),
      ),
    );
    const services = await startServices(spec, group);
    const entryVms = await startEntryVms(spec, group, platformUrl, directory);
    const deployment = { spec, platform, engines, services, entryVms, group, close };
    await commitInitialSettings(deployment);
    await waitUntilReady(deployment);
    return deployment;
  } catch (error) {
    await close();
    throw error;
  }
}

/// Starts an entry VM's daemon again with the same start-up file, as its replacement.
export async function restartEntryVm(deployment: Deployment, entryVm: EntryVm): Promise<void> {
  entryVm.process = await startDaemon(deployment.group, entryVm.name, entryVm.startUpFile);
}

/// Returns the settings document of the deployment's only team.
export function createInitialSettings(
  deployment: Pick<Deployment, "spec" | "engines" | "services">,
): object {
  const { spec, engines, services } = deployment;
  const targets = [
    ...engines.map(({ name, port }, index) => {
      const { dataCentre, firstLayer, endLayer, tokensPerSecond } =
        spec.engines[index] ?? fallbackEngine;
      const endpoint = { host: "127.0.0.1", port, dataCentre, checksFencing: index % 2 === 0 };
      const layerFields = {
        firstLayer,
        endLayer,
        tokensPerSecond,
        accelerator: `kind-${index % 3}`,
      };
      return [name, { kind: "engine", pipeline: spec.route, ...endpoint, ...layerFields }] as const;
    }),
    ...services.map(({ name, port }, index) => {
      const dataCentre = dataCentres[index % dataCentres.length];
      const endpoint = { host: "127.0.0.1", port, dataCentre, checksFencing: false };
      return [name, { kind: "service", service: spec.service, ...endpoint }] as const;
    }),
  ];
  return {
    routes: {
      [spec.route]: { kind: "model", pipeline: spec.route },
      [spec.service]: { kind: "service", service: spec.service, repeatable: false },
    },
    pipelines: {
      [spec.route]: { layers: spec.layers, version: "v1", weighting: spec.weighting },
    },
    targets: Object.fromEntries<object>(targets),
    workspaces: {
      "workshop-1": {
        weight: 1,
        tokenDigest: createHash("sha256").update(workspaceToken).digest("hex"),
        routes: [spec.route, spec.service],
      },
    },
    objectives: { "first-token": { route: spec.route, firstTokenMilliseconds: 470, share: 0.95 } },
  };
}

const fallbackEngine: EngineSpec = {
  firstLayer: 0,
  endLayer: 1,
  dataCentre: "",
  tokensPerSecond: 1,
};

async function startEngines(
  spec: DeploymentSpec,
  group: ProcessGroup,
  platformUrl: string,
  usesProxies: boolean,
): Promise<Target[]> {
  return Promise.all(
    spec.engines.map(async ({ firstLayer, endLayer, tokensPerSecond }, index) => {
      const name = `${spec.name}-engine-${index + 1}`;
      const started = await group.start(name, resolveProgram("stand-ins"), [
        "engine",
        `--name=${name}`,
        `--first-layer=${firstLayer}`,
        `--end-layer=${endLayer}`,
        `--layers=${spec.layers}`,
        `--tokens-per-second=${tokensPerSecond}`,
        `--checks-fencing=${index % 2 === 0}`,
        `--platform-url=${platformUrl}`,
      ]);
      const directPort = started.readyMessage.port ?? 0;
      const proxy = usesProxies ? await startLoopbackProxy(directPort) : undefined;
      return { name, port: proxy?.port ?? directPort, directPort, proxy, process: started };
    }),
  );
}

async function startServices(spec: DeploymentSpec, group: ProcessGroup): Promise<Target[]> {
  return Promise.all(
    dataCentres.map(async (_, index) => {
      const name = `${spec.service}-${index + 1}`;
      const started = await group.start(name, resolveProgram("stand-ins"), [
        "service",
        `--name=${name}`,
      ]);
      const directPort = started.readyMessage.port ?? 0;
      return { name, port: directPort, directPort, proxy: undefined, process: started };
    }),
  );
}

async function startEntryVms(
  spec: DeploymentSpec,
  group: ProcessGroup,
  platformUrl: string,
  directory: string,
): Promise<EntryVm[]> {
  const placements = dataCentres.flatMap((dataCentre) =>
    Array.from({ length: spec.entryVmsPerDataCentre }, (_, index) => ({
      dataCentre,
      name: `${dataCentre}-${index + 1}`,
    })),
  );
  const ports = await reservePorts(placements.length * 2);
  const plannedEntryVms = placements.map((placement, index) => ({
    ...placement,
    callerPort: ports[index * 2] ?? 0,
    controlPort: ports[index * 2 + 1] ?? 0,
  }));
  return Promise.all(
    plannedEntryVms.map(async (self) => {
      const peers = plannedEntryVms
        .filter((peer) => peer.name !== self.name)
        .map(({ name, dataCentre, controlPort }) => ({
          name,
          dataCentre,
          host: "127.0.0.1",
          port: controlPort,
        }));
      const startUpDocument = {
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
      const startUpFile = join(directory, `${spec.name}-${self.name}.json`);
      await writeFile(startUpFile, JSON.stringify(startUpDocument));
      const started = await startDaemon(group, self.name, startUpFile);
      return { ...self, startUpFile, process: started };
    }),
  );
}

function startDaemon(
  group: ProcessGroup,
  name: string,
  startUpFile: string,
): Promise<StartedProcess> {
  return group.start(name, resolveProgram("daemon"), ["--file", startUpFile]);
}

async function commitInitialSettings(deployment: Deployment): Promise<void> {
  const firstEntryVm = deployment.entryVms[0];
  if (firstEntryVm === undefined) throw new Error("the deployment has no entry VM");
  const url = `http://127.0.0.1:${firstEntryVm.controlPort}/v1/settings/${deployment.spec.name}`;
  const body = { document: createInitialSettings(deployment), baseRevision: 0 };
  const response = await fetchJson(url, { method: "PUT", bearerToken: operatorKey, body });
  if (response.status !== 200)
    throw new Error(`entry VM refused the settings: ${JSON.stringify(response.body)}`);
}

async function waitUntilReady(deployment: Deployment): Promise<void> {
  const expectedCount = deployment.engines.length + deployment.services.length;
  const deadline = performance.now() + readyTimeoutMilliseconds;
  for (const entryVm of deployment.entryVms) {
    for (;;) {
      if (performance.now() > deadline)
        throw new Error(`${entryVm.name} does not list all targets as serving in time`);
      const targets = await fetchTargetStates(entryVm);
      if (targets.filter((state) => state === "serving").length === expectedCount) break;
      await delay(readyPollMilliseconds);
    }
  }
}

async function fetchTargetStates(entryVm: EntryVm): Promise<string[]> {
  const url = `http://127.0.0.1:${entryVm.controlPort}/v1/targets`;
  const response = await fetchJson(url, { bearerToken: operatorKey });
  const { targets } = response.body as { targets: { state: string; reportAge: number }[] };
  return targets.map(({ state }) => state);
}
