//! Explores orders that lease holders send to engines with fencing numbers.
import t from "tap";
import { explore } from "../src/explore.js";
import { TableFault } from "../src/fake-table.js";
import { checkOrders } from "../src/checker.js";
import { drawOrdersFaults, runOrders, type OrdersFaults } from "../src/orders-scenario.js";
import { Simulation } from "../src/simulation.js";

const scheduleCount = 120;
const seeds = [41, 42, 43];
const drawsPerFault = 5;
const noFaults: OrdersFaults = {
  chooseTableFault: () => TableFault.None,
  chooseFreezeDuration: () => 0,
  isOrderResponseLost: () => false,
  clockRates: [1, 1, 1],
  loadDuration: 3_000,
};

t.test("fencing numbers of orders never decrease", async (t) => {
  for (const seed of seeds) {
    const result = await explore(
      async (simulation) => {
        const { sentOrders, acceptedOrders } = await runOrders(
          simulation,
          drawOrdersFaults(simulation, drawsPerFault),
        );
        return checkOrders(sentOrders, acceptedOrders);
      },
      seed,
      scheduleCount,
      false,
    );
    t.equal(result.violation, undefined, `seed ${seed}`);
  }
});

/// Freezes the holder once, at the given occurrence of the moment, counted from 1.
function freezeOnce(
  holder: string,
  moment: "round" | "order",
  occurrence: number,
  durationMilliseconds: number,
): OrdersFaults["chooseFreezeDuration"] {
  let count = 0;
  return (currentMoment, name) => {
    if (currentMoment !== moment || name !== holder) return 0;
    count += 1;
    return count === occurrence ? durationMilliseconds : 0;
  };
}

t.test(
  "orders are fenced when a holder freezes between its lease check and its send",
  async (t) => {
    const chooseFreezeDuration = freezeOnce("entry-a", "order", 1, 40_000);
    const history = await runOrders(new Simulation(), { ...noFaults, chooseFreezeDuration });
    t.same(checkOrders(history.sentOrders, history.acceptedOrders), []);
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
  },
);

t.test("an engine that ignores fencing numbers reaches the desired version", async (t) => {
  const chooseFreezeDuration = freezeOnce("entry-a", "order", 2, 60_000);
  const history = await runOrders(new Simulation(), {
    ...noFaults,
    chooseFreezeDuration,
  });
  for (const [engine, { version }] of history.versions) t.equal(version, "v3", engine);
  t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
});

t.test("no engine loads a version twice when responses to orders are lost", async (t) => {
  const history = await runOrders(new Simulation(), {
    ...noFaults,
    isOrderResponseLost: () => true,
  });
  for (const [engine, { version, loadCount }] of history.versions) {
    t.equal(version, "v3", engine);
    t.equal(loadCount, 2, engine);
  }
});

t.test("no other entry VM sends orders before the lease of a frozen holder ends", async (t) => {
  const chooseFreezeDuration = freezeOnce("entry-a", "round", 4, 7_500);
  const history = await runOrders(new Simulation(), {
    ...noFaults,
    chooseFreezeDuration,
    loadDuration: 100,
  });
  t.same(checkOrders(history.sentOrders, history.acceptedOrders), []);
});

t.test("two failures: orders are fenced when two holders freeze in succession", async (t) => {
  const freezes = [
    freezeOnce("entry-a", "order", 1, 40_000),
    freezeOnce("entry-b", "order", 2, 40_000),
  ];
  const chooseFreezeDuration: OrdersFaults["chooseFreezeDuration"] = (moment, holder) =>
    Math.max(...freezes.map((chooseFreeze) => chooseFreeze(moment, holder)));
  const history = await runOrders(new Simulation(), { ...noFaults, chooseFreezeDuration });
  t.same(checkOrders(history.sentOrders, history.acceptedOrders), []);
  t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
});

t.test("at most two engines load at once", async (t) => {
  const { transcript } = await runOrders(new Simulation(), noFaults);
  const loads = transcript.filter((line) => line.includes(": loads v2"));
  const times = loads.map((line) => Number(line.slice(0, 6)));
  t.equal(loads.length, 3);
  t.ok((times[2] ?? 0) - (times[0] ?? 0) >= 3_000, "the third load starts after one has finished");
});
