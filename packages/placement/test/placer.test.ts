//! Orders under conditions: what the placer gives, reads back and gives again.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import type { Clock, Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import {
  Placer,
  type EngineOrders,
  type EngineStatus,
  type EngineView,
  type OrderOutcome,
} from "../src/index.js";

const model: LayeredModel = {
  layers: 4,
  layerMegabytes: 100,
  cacheBytesPerToken: 400,
  stepTime: 1,
  stepTimePerAnswer: 0,
  stepTimePerThousandTokens: 0,
  stepsPerPass: 1,
  largestReadPerPass: 512,
  readTokensPerSecond: 1_000,
  loadTime: 1_000,
  usualPromptTokens: 10,
  usualAnswerTokens: 10,
  cards: new Map([["card", { memoryMegabytes: 500, stepFactor: 1, readFactor: 1 }]]),
};

const quiet: Logger = { info: () => undefined, warn: () => undefined, error: () => undefined };

class Scene {
  now = 0;
  readonly given: { engine: string; layers: LayerRange; expected: number }[] = [];
  outcomes: OrderOutcome[] = [];
  status: EngineStatus = { born: 1, orders: 3, isBusy: false, layers: undefined };
  readonly placer: Placer;

  constructor() {
    const orders: EngineOrders = {
      place: (engine, layers, expected) => {
        this.given.push({ engine, layers, expected });
        return Promise.resolve(this.outcomes.shift() ?? { kind: "begun" });
      },
      readStatus: () => Promise.resolve(Result.ok(this.status)),
    };
    const clock: Clock = {
      monotonic: () => this.now,
      wall: () => this.now,
      sleep: () => Promise.resolve(),
    };
    this.placer = new Placer(orders, clock, quiet);
  }

  async step(engines: readonly EngineView[]): Promise<void> {
    this.placer.step(engines, model);
    await new Promise((resolve) => setImmediate(resolve));
  }

  async settled(engines: readonly EngineView[]): Promise<void> {
    await this.step(engines);
    this.now += 1_000;
    await this.step(engines);
  }
}

function engine(name: string, layers?: LayerRange, born = 1): EngineView {
  return { name, dataCentre: "north", card: "card", layers, born };
}

t.test("the first plan waits until no more engines come", async (t) => {
  const scene = new Scene();
  await scene.step([engine("a")]);
  scene.now += 800;
  await scene.step([engine("a"), engine("b")]);
  scene.now += 800;
  await scene.step([engine("a"), engine("b")]);
  t.same(scene.given, []);
  scene.now += 200;
  await scene.step([engine("a"), engine("b")]);
  t.equal(scene.given.length, 1, "one holds all layers; the other stays in reserve");
  scene.now += 2_500;
  await scene.step([engine("a", { first: 0, end: 4 }), engine("b")]);
  t.equal(scene.given.length, 2, "nothing needed it");
});

t.test("an order under way is not given again", async (t) => {
  const scene = new Scene();
  await scene.settled([engine("a")]);
  scene.now += 2_000;
  await scene.step([engine("a")]);
  t.equal(scene.given.length, 1);
});

t.test("an engine whose count differs is read, and the order goes by what it says", async (t) => {
  const scene = new Scene();
  scene.outcomes = [{ kind: "conflict", status: 409 }];
  await scene.settled([engine("a")]);
  t.same(
    scene.given.map(({ expected }) => expected),
    [0, 3],
  );
});

t.test("an order without an answer that has taken effect is not repeated", async (t) => {
  const scene = new Scene();
  scene.outcomes = [{ kind: "unknown", reason: "no answer" }];
  scene.status = { born: 1, orders: 1, isBusy: false, layers: { first: 0, end: 4 } };
  await scene.settled([engine("a")]);
  t.equal(scene.given.length, 1);
});

t.test("an engine that is busy with the order is left alone", async (t) => {
  const scene = new Scene();
  scene.outcomes = [{ kind: "unknown", reason: "no answer" }];
  scene.status = { born: 1, orders: 1, isBusy: true, layers: undefined };
  await scene.settled([engine("a")]);
  t.equal(scene.given.length, 1);
});

t.test("an engine that started again under its name gets its layers anew", async (t) => {
  const scene = new Scene();
  await scene.settled([engine("a")]);
  await scene.step([engine("a", { first: 0, end: 4 })]);
  await scene.step([engine("a", undefined, 2)]);
  t.equal(scene.given.length, 2);
  t.equal(scene.given[1]?.expected, 0, "it has accepted no orders in this start");
});

t.test("a plan found in force is left as it is", async (t) => {
  const scene = new Scene();
  await scene.settled([engine("a", { first: 0, end: 4 })]);
  t.same(scene.given, []);
});
