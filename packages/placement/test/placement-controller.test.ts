//! Conditional orders: which orders the placement controller sends, reads back and sends again.
import type { LayeredModel, LayerRange } from "@lovagebend/catalog";
import type { Clock, Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import {
  PlacementController,
  type EngineClient,
  type EngineStatus,
  type EngineView,
  type OrderOutcome,
} from "../src/index.js";

const model: LayeredModel = {
  layerCount: 4,
  layerMegabytes: 100,
  cacheBytesPerToken: 400,
  stepTime: 1,
  stepTimePerAnswer: 0,
  stepTimePerThousandTokens: 0,
  stepsPerPass: 1,
  maximumPrefillTokensPerPass: 512,
  prefillTokensPerSecond: 1_000,
  loadTime: 1_000,
  typicalPromptTokens: 10,
  typicalAnswerTokens: 10,
  cards: new Map([["card", { memoryMegabytes: 500, stepFactor: 1, prefillFactor: 1 }]]),
};

const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

class ControllerHarness {
  now = 0;
  readonly sentOrders: { engine: string; layers: LayerRange; expected: number }[] = [];
  outcomes: OrderOutcome[] = [];
  status: EngineStatus = { born: 1, orders: 3, isBusy: false, layers: undefined };
  readonly controller: PlacementController;

  constructor() {
    const engineClient: EngineClient = {
      loadLayers: (engine, layers, expected) => {
        this.sentOrders.push({ engine, layers, expected });
        return Promise.resolve(this.outcomes.shift() ?? { kind: "begun" });
      },
      readStatus: () => Promise.resolve(Result.ok(this.status)),
    };
    const clock: Clock = {
      monotonicTime: () => this.now,
      wallClockTime: () => this.now,
      sleep: () => Promise.resolve(),
    };
    this.controller = new PlacementController(engineClient, clock, silentLogger);
  }

  async reconcile(engines: readonly EngineView[]): Promise<void> {
    this.controller.reconcile(engines, model);
    await new Promise((resolve) => setImmediate(resolve));
  }

  async reconcileUntilStable(engines: readonly EngineView[]): Promise<void> {
    await this.reconcile(engines);
    this.now += 1_000;
    await this.reconcile(engines);
  }
}

function engine(name: string, layers?: LayerRange, born = 1): EngineView {
  return { name, dataCentre: "north", card: "card", layers, born };
}

t.test("the first plan is delayed until the number of engines is stable", async (t) => {
  const harness = new ControllerHarness();
  await harness.reconcile([engine("a")]);
  harness.now += 800;
  await harness.reconcile([engine("a"), engine("b")]);
  harness.now += 800;
  await harness.reconcile([engine("a"), engine("b")]);
  t.same(harness.sentOrders, []);
  harness.now += 200;
  await harness.reconcile([engine("a"), engine("b")]);
  t.equal(harness.sentOrders.length, 1, "one engine holds all layers; the other stays on standby");
  harness.now += 2_500;
  await harness.reconcile([engine("a", { first: 0, end: 4 }), engine("b")]);
  t.equal(harness.sentOrders.length, 2, "the standby engine gets layers after the standby time");
});

t.test("a pending order is not sent again", async (t) => {
  const harness = new ControllerHarness();
  await harness.reconcileUntilStable([engine("a")]);
  harness.now += 2_000;
  await harness.reconcile([engine("a")]);
  t.equal(harness.sentOrders.length, 1);
});

t.test(
  "an order with a wrong count is sent again with the count that the engine reports",
  async (t) => {
    const harness = new ControllerHarness();
    harness.outcomes = [{ kind: "conflict", status: 409 }];
    await harness.reconcileUntilStable([engine("a")]);
    t.same(
      harness.sentOrders.map(({ expected }) => expected),
      [0, 3],
    );
  },
);

t.test("an unanswered order that has taken effect is not sent again", async (t) => {
  const harness = new ControllerHarness();
  harness.outcomes = [{ kind: "unknown", reason: "no answer" }];
  harness.status = { born: 1, orders: 1, isBusy: false, layers: { first: 0, end: 4 } };
  await harness.reconcileUntilStable([engine("a")]);
  t.equal(harness.sentOrders.length, 1);
});

t.test("an unanswered order is not sent again while the engine is busy", async (t) => {
  const harness = new ControllerHarness();
  harness.outcomes = [{ kind: "unknown", reason: "no answer" }];
  harness.status = { born: 1, orders: 1, isBusy: true, layers: undefined };
  await harness.reconcileUntilStable([engine("a")]);
  t.equal(harness.sentOrders.length, 1);
});

t.test("a restarted engine with the same name gets its layers again", async (t) => {
  const harness = new ControllerHarness();
  await harness.reconcileUntilStable([engine("a")]);
  await harness.reconcile([engine("a", { first: 0, end: 4 })]);
  await harness.reconcile([engine("a", undefined, 2)]);
  t.equal(harness.sentOrders.length, 2);
  t.equal(harness.sentOrders[1]?.expected, 0, "it has accepted no orders since the restart");
});

t.test("no order is sent when the engines already match the plan", async (t) => {
  const harness = new ControllerHarness();
  await harness.reconcileUntilStable([engine("a", { first: 0, end: 4 })]);
  t.same(harness.sentOrders, []);
});
