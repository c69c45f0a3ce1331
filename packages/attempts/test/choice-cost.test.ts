//! The work of choosing a path in a large deployment. Each request chooses one or more, so that it
//! must not ask for every target what is the same for all: at 195 entry VMs and 218 engines that
//! took most of a small VM's processor.
import { ListedState, type ServiceProfile } from "@lovagebend/catalog";
import type { Clock, Logger } from "@lovagebend/common";
import t from "tap";
import { TargetRegistry, type AttemptServices } from "../src/index.js";
import { StreamPaths } from "../src/stream-paths.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };
const engineCount = 218;
const engineNames = Array.from({ length: engineCount }, (_, index) => `engine-${index}`);
const clock: Clock = {
  monotonicTime: () => 0,
  wallClockTime: () => 0,
  sleep: () => Promise.resolve(),
};

const service: ServiceProfile = {
  name: "model",
  healthPath: "/healthz",
  maximumConnections: 100,
  model: {
    layerCount: 2,
    layerMegabytes: 1_750,
    cacheBytesPerToken: 515_820,
    stepTime: 0.85,
    stepTimePerAnswer: 0.0034,
    stepTimePerThousandTokens: 0.0045,
    prefillTokensPerSecond: 321_000,
    stepsPerPass: 2,
    maximumPrefillTokensPerPass: 512,
    loadTime: 14_000,
    typicalPromptTokens: 772,
    typicalAnswerTokens: 142,
    cards: new Map([["card", { memoryMegabytes: 22_000, stepFactor: 16, prefillFactor: 8 }]]),
  },
};

function createRegistry(): TargetRegistry {
  const registry = new TargetRegistry(clock, logger);
  for (const [index, name] of engineNames.entries())
    registry.addOrUpdate({
      name,
      service: "model",
      host: "127.0.0.1",
      port: 1 + index,
      dataCentre: index % 2 === 0 ? "north" : "south",
      state: ListedState.Ready,
      born: 1,
      slots: 134,
      card: "card",
      layers: { first: 0, end: 2 },
    });
  return registry;
}

t.test("choosing a path counts the entry VMs once, not once for each target", async (t) => {
  const targetRegistry = createRegistry();
  let counts = 0;
  const countVms = (): number => (counts += 1);
  const services: Partial<AttemptServices> = {
    targetRegistry,
    clock,
    dataCentre: "north",
    entryVmCount: countVms,
    localEntryVmCount: countVms,
    requestLimiter: {
      check: () => ({ kind: "allowed" }),
      acquire: () => Promise.resolve({ kind: "allowed" }),
      recordAnswer: discard,
    },
  };
  const paths = new StreamPaths(service, services as AttemptServices);
  t.equal((await paths.chooseWithoutRefusing([]))?.parts.length, 1);
  t.equal(counts, 2, "of the data centre, and of all");
});

t.test("listing the targets of a service copies none of them", (t) => {
  const registry = createRegistry();
  const [first] = registry.getServingTargets("model");
  t.equal(first, registry.getServingTargets("model")[0]);
  registry.begin("engine-0", 900, 700);
  t.equal(first?.openTokens, 900, "and they show what has been observed since");
  t.end();
});

t.test("a target that was listed before keeps its entry when another process replaces it", (t) => {
  const registry = createRegistry();
  const before = registry.get("engine-0");
  registry.suspect("engine-0", "no answer");
  if (before === undefined) throw new Error("not listed");
  registry.addOrUpdate({ ...before, born: 2, port: 999 });
  t.equal(before.born, 1);
  t.equal(registry.get("engine-0")?.suspectedUntil, -Infinity, "a new process is not suspected");
  t.end();
});
