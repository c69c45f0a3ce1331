//! Whom a stream is offered to after refusals. Many streams are lost together, and each refusal of
//! an engine that has just refused one of them costs a retry.
import { ListedState, type ServiceProfile } from "@lovagebend/catalog";
import type { Clock, Logger } from "@lovagebend/common";
import t from "tap";
import { TargetRegistry, type AttemptServices } from "../src/index.js";
import { StreamPaths } from "../src/stream-paths.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

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

// Two engines hold the first layer, and one the second, which all paths cross.
const engines = [
  { name: "first-0", layers: { first: 0, end: 1 } },
  { name: "first-1", layers: { first: 0, end: 1 } },
  { name: "middle", layers: { first: 1, end: 2 } },
];

function createPaths() {
  let now = 0;
  const clock: Clock = {
    monotonicTime: () => now,
    wallClockTime: () => now,
    sleep: () => Promise.resolve(),
  };
  const targetRegistry = new TargetRegistry(clock, logger);
  for (const [index, { name, layers }] of engines.entries())
    targetRegistry.addOrUpdate({
      name,
      service: "model",
      host: "127.0.0.1",
      port: 1 + index,
      dataCentre: "north",
      state: ListedState.Ready,
      born: 1,
      slots: 134,
      card: "card",
      layers,
    });
  const services: Partial<AttemptServices> = {
    targetRegistry,
    clock,
    dataCentre: "north",
    entryVmCount: () => 1,
    localEntryVmCount: () => 1,
    requestLimiter: {
      check: () => ({ kind: "allowed" }),
      acquire: () => Promise.resolve({ kind: "allowed" }),
      recordAnswer: discard,
    },
  };
  const paths = new StreamPaths(service, services as AttemptServices);
  // How many of ten streams that were lost together are offered at `time`.
  const countOffered = async (time: number): Promise<number> => {
    now = time;
    const offers = await Promise.all(
      Array.from({ length: 10 }, () => paths.chooseWithoutRefusing([])),
    );
    return offers.filter((path) => path !== undefined).length;
  };
  return { targetRegistry, countOffered };
}

t.test("all streams are offered to engines that have not refused", async (t) => {
  const { countOffered } = createPaths();
  t.equal(await countOffered(0), 10);
});

t.test("one stream at a time shows whether an engine that refused has room again", async (t) => {
  const { targetRegistry, countOffered } = createPaths();
  targetRegistry.recordRefusal("middle");
  t.equal(await countOffered(299), 0);
  t.equal(await countOffered(301), 1);
  t.equal(await countOffered(350), 0, "its answer is awaited");
  t.equal(await countOffered(402), 1, "it has accepted, or is slow to begin");
});

t.test("a trial that is refused doubles the pause", async (t) => {
  const { targetRegistry, countOffered } = createPaths();
  targetRegistry.recordRefusal("middle");
  t.equal(await countOffered(301), 1);
  t.equal(await countOffered(320), 0);
  targetRegistry.recordRefusal("middle");
  t.equal(await countOffered(900), 0);
  t.equal(await countOffered(921), 1);
});

t.test("after a trial that is accepted the next follows at once", async (t) => {
  const { targetRegistry, countOffered } = createPaths();
  targetRegistry.recordRefusal("middle");
  t.equal(await countOffered(301), 1);
  targetRegistry.recordAcceptance("middle");
  t.equal(await countOffered(310), 1);
  targetRegistry.recordSuccess("middle");
  t.equal(await countOffered(412), 10, "a stream has ended whole");
});
