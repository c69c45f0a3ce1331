//! Herding: many entry VMs, each of which sees few streams, choose between chains of
//! engines that are enough only together. None of them may be given more prompts than it
//! can read, or those that wait there grow without end; nor more answers than its memory
//! holds, or each waits for another one to end.
import { ListedState, type LayeredModel } from "@lovagebend/catalog";
import type { Clock } from "@lovagebend/common";
import { layerPath } from "@lovagebend/routing";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { layerHolder, TargetBook } from "../src/index.js";

function modelOn(memoryMegabytes: number, quickFactor: number): LayeredModel {
  return {
    layers: 80,
    layerMegabytes: 1_750,
    cacheBytesPerToken: 515_820,
    stepTime: 0.85,
    stepTimePerAnswer: 0.0034,
    stepTimePerThousandTokens: 0.0045,
    readTokensPerSecond: 321_000,
    stepsPerPass: 2,
    largestReadPerPass: 512,
    loadTime: 14_000,
    usualPromptTokens: 772,
    usualAnswerTokens: 142,
    cards: new Map([
      ["quick", { memoryMegabytes, stepFactor: quickFactor, readFactor: quickFactor }],
      ["slow", { memoryMegabytes, stepFactor: 16, readFactor: 16 }],
    ]),
  };
}

const tokens = 914;
const promptTokens = 772;
const entryVms = 25;
const answerTime = 3_000;
const length = 20_000;
const ranges = [
  { first: 0, end: 16 },
  { first: 16, end: 32 },
  { first: 32, end: 48 },
  { first: 48, end: 64 },
  { first: 64, end: 80 },
];

class SteppedClock implements Clock {
  time = 0;
  monotonic = (): number => this.time;
  wall = (): number => this.time;
  sleep = (): Promise<void> => Promise.resolve();
}

const layersOfEach = 16;

// The most tokens of prompts that one engine of a card can read in a second.
function readCapacity(model: LayeredModel, card: string): number {
  const { stepFactor, readFactor } = model.cards.get(card) ?? { stepFactor: 1, readFactor: 1 };
  const share = layersOfEach / model.layers;
  const read = (share * readFactor * 1_000) / model.readTokensPerSecond;
  const pass = model.stepsPerPass * share * stepFactor * model.stepTime;
  return (model.largestReadPerPass * 1_000) / (pass + model.largestReadPerPass * read);
}

// The most tokens of context that one engine has memory for.
function memoryCapacity(model: LayeredModel): number {
  const memory = model.cards.get("slow")?.memoryMegabytes ?? 0;
  const free = (memory - layersOfEach * model.layerMegabytes) * 1e6;
  return free / ((model.cacheBytesPerToken / model.layers) * layersOfEach);
}

interface Given {
  /// Tokens of prompts a second over the second half of the time.
  readonly reading: number;
  /// The mean tokens of context over that time.
  readonly held: number;
}

// What each engine is given: one quick chain and two slow ones of five engines each.
function play(model: LayeredModel, streamsPerSecond: number): Map<string, Given> {
  const clock = new SteppedClock();
  const logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
  const books = Array.from({ length: entryVms }, () => new TargetBook(clock, logger));
  for (const book of books)
    for (const chain of ["a", "b", "c"])
      for (const [index, layers] of ranges.entries())
        book.list({
          name: `${chain}${index}`,
          service: "model",
          host: "127.0.0.1",
          port: 1,
          dataCentre: "north",
          state: ListedState.Ready,
          born: 1,
          slots: 1_000,
          card: chain === "a" ? "quick" : "slow",
          layers,
        });
  const generator = xoroshiro128plus(20_261_204);
  const streams = new Map<string, number>();
  const ending: { at: number; end: () => void }[] = [];
  const pause = 1_000 / streamsPerSecond;
  for (clock.time = 0; clock.time < length; clock.time += pause) {
    while ((ending[0]?.at ?? Infinity) <= clock.time) ending.shift()?.end();
    const book = books[uniformInt(generator, 0, entryVms - 1)];
    if (book === undefined) break;
    const holders = book
      .serving("model")
      .flatMap((target) => layerHolder(target, model, entryVms, clock.time) ?? []);
    const path = layerPath(holders, {
      layers: model.layers,
      crossingTime: 80,
      entryCrossingTime: 15,
      home: "north",
      largestParts: 32,
    });
    for (const { target } of path ?? []) {
      ending.push({ at: clock.time + answerTime, end: book.begin(target, tokens, promptTokens) });
      if (clock.time > length / 2) streams.set(target, (streams.get(target) ?? 0) + 1);
    }
  }
  const perSecond = 1_000 / (length / 2);
  return new Map(
    [...streams].map(([name, count]) => [
      name,
      {
        reading: count * perSecond * promptTokens,
        held: (count * perSecond * answerTime * tokens) / 1_000,
      },
    ]),
  );
}

t.test("no engine is given more prompts than it can read while others could take them", (t) => {
  const model = modelOn(120_000, 8);
  const all = readCapacity(model, "quick") + 2 * readCapacity(model, "slow");
  const given = play(model, (0.75 * all) / promptTokens);
  for (const [name, { reading }] of given) {
    const most = readCapacity(model, name.startsWith("a") ? "quick" : "slow");
    t.ok(reading < most, `${name}: ${Math.round(reading)} of ${Math.round(most)} tokens a second`);
  }
  t.equal(given.size, 15, "all engines take part");
  t.end();
});

t.test("no engine is given more answers than it has memory for while others have some", (t) => {
  const model = modelOn(40_000, 3);
  const most = memoryCapacity(model);
  const given = play(model, (0.7 * 3 * most * 1_000) / (answerTime * tokens));
  for (const [name, { held }] of given)
    t.ok(held < most, `${name}: ${Math.round(held)} of ${Math.round(most)} tokens`);
  t.equal(given.size, 15, "all engines take part");
  t.end();
});
