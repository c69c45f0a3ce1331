//! Workspace shares, the retry budget and the adaptive capacity.
import t from "tap";
import { adjustCapacity, RetryBudget, allocateCapacity } from "../src/index.js";

t.test("busy workspaces get capacity by weight, including the unused shares of idle ones", (t) => {
  const weights = new Map([
    ["large", 3],
    ["small", 1],
  ]);
  const demand = (workspace: string, entryVm: string, tokensPerSecond: number) => ({
    workspace,
    entryVm,
    tokensPerSecond,
  });
  const busyDemands = [
    demand("large", "a", 900),
    demand("large", "b", 900),
    demand("small", "a", 900),
  ];
  t.same(
    [...allocateCapacity("a", busyDemands, weights, 400)],
    [
      ["large", 150],
      ["small", 100],
    ],
  );
  t.same([...allocateCapacity("b", busyDemands, weights, 400)], [["large", 150]]);
  const idleDemands = [demand("large", "b", 40), demand("small", "a", 900)];
  t.same([...allocateCapacity("a", idleDemands, weights, 400)], [["small", 360]]);
  t.end();
});

t.test("retries stay within a tenth of the first attempts when every attempt fails", (t) => {
  const budget = new RetryBudget();
  let retries = 0;
  for (let request = 0; request < 10_000; request += 1) {
    budget.recordFirstAttempt();
    while (budget.trySpend()) retries += 1;
  }
  t.ok(retries <= 10_000 * 0.1 + 20, `${retries} retries`);
  t.end();
});

t.test(
  "capacity decreases when tokens are too slow and increases only while requests wait",
  (t) => {
    const reading = {
      desiredTokenInterval: 80,
      hasWaitingRequests: true,
      capacity: 1_000,
      minimumCapacity: 100,
    };
    t.equal(adjustCapacity({ ...reading, tokenInterval: 160 }), 700);
    t.equal(adjustCapacity({ ...reading, tokenInterval: 100 }), 800);
    t.equal(adjustCapacity({ ...reading, tokenInterval: 40 }), 1_100);
    t.equal(adjustCapacity({ ...reading, tokenInterval: 40, hasWaitingRequests: false }), 1_000);
    t.equal(adjustCapacity({ ...reading, tokenInterval: 160, capacity: 110 }), 100);
    t.equal(adjustCapacity({ ...reading, tokenInterval: undefined }), 1_000);
    t.end();
  },
);
