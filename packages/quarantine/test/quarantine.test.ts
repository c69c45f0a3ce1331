//! The quarantine of prompt parts over many schedules of crashes, requests and exchanges.
import t from "tap";
import { PromptQuarantine } from "../src/index.js";
import { Cluster } from "./cluster.js";

const seeds = Array.from({ length: 40 }, (_, index) => index + 1);
const stableTime = 3_000;
const minute = 60_000;

// Guards against BUDGET: requests with one part crash targets one after the other.
t.test("at most three requests with a deadly part are sent after the fifth crash", (t) => {
  for (const seed of seeds) {
    const cluster = new Cluster({ seed, entryVms: [1, 6, 9, 30][seed % 4] ?? 6 });
    const deadly = new Set(["deadly"]);
    const pause = [100, 300, 1_000, 3_000][seed % 4] ?? 1_000;
    let lateRequests = 0;
    for (let index = 0; index < 60; index += 1) {
      cluster.advanceTo(cluster.now + cluster.pick(pause));
      for (let sound = 0; sound < 5; sound += 1)
        cluster.request([`popular-${cluster.pick(20)}`], deadly);
      const fifthCrash = cluster.crashTimes[4] ?? Infinity;
      const { sent } = cluster.request([`popular-${cluster.pick(20)}`, "deadly"], deadly);
      if (cluster.now > fifthCrash + stableTime) lateRequests += sent;
    }
    t.ok(lateRequests <= 3, `seed ${seed}: ${lateRequests} late requests`);
    const popular = Array.from({ length: 20 }, (_, index) => `popular-${index}`);
    t.equal(
      popular.reduce((sum, part) => sum + cluster.countQuarantining(part), 0),
      0,
      `seed ${seed}: no sound part is quarantined`,
    );
  }
  t.end();
});

// Guards against a wrong verdict: a popular part is in the prompts of nearly every crash.
t.test("a popular sound part stays in service when targets crash for other reasons", (t) => {
  for (const seed of seeds) {
    const cluster = new Cluster({ seed, entryVms: 6 });
    for (let index = 0; index < 100; index += 1) {
      cluster.advanceTo(cluster.now + 50);
      cluster.request(["popular", `rare-${cluster.pick(50)}`], new Set());
      if (index % 10 < 5)
        cluster.crashTarget([
          { vm: cluster.pick(6), parts: ["popular", `rare-${cluster.pick(50)}`] },
          { vm: cluster.pick(6), parts: ["popular"] },
        ]);
    }
    cluster.advanceTo(cluster.now + 5_000);
    t.equal(cluster.countQuarantining("popular"), 0, `seed ${seed}`);
  }
  t.end();
});

t.test("five crashes at the same moment do not convict a part that lives elsewhere", (t) => {
  for (const seed of seeds) {
    const cluster = new Cluster({ seed, entryVms: 9 });
    for (let crash = 0; crash < 5; crash += 1)
      cluster.crashTarget([{ vm: cluster.pick(9), parts: ["new", "popular"] }]);
    cluster.advanceTo(cluster.now + 200);
    cluster.request(["new", "popular"], new Set());
    cluster.vms[cluster.pick(9)]?.recordSurvival(["new", "popular"], cluster.now);
    cluster.advanceTo(cluster.now + 10_000);
    t.equal(cluster.countQuarantining("new") + cluster.countQuarantining("popular"), 0);
  }
  t.end();
});

// Guards against BUDGET and LOST with two faults: each costs its own crashes only.
t.test("two deadly parts at once are both found, and no other", (t) => {
  for (const seed of seeds) {
    const cluster = new Cluster({ seed, entryVms: 6 });
    const deadly = new Set(["frequent", "seldom"]);
    for (let index = 0; index < 400; index += 1) {
      cluster.advanceTo(cluster.now + 50);
      cluster.request([`first-${cluster.pick(10)}`, "middle"], deadly);
      if (index % 6 === 0) cluster.request([`first-${cluster.pick(10)}`, "frequent"], deadly);
      if (index % 30 === 0)
        cluster.request([`first-${cluster.pick(10)}`, "middle", "seldom"], deadly);
    }
    cluster.advanceTo(cluster.now + 5_000);
    t.equal(cluster.countQuarantining("frequent"), 6, `seed ${seed}`);
    t.equal(cluster.countQuarantining("seldom"), 6, `seed ${seed}`);
    t.equal(cluster.countQuarantining("middle"), 0, `seed ${seed}`);
    t.ok(cluster.crashTimes.length <= 14, `seed ${seed}: ${cluster.crashTimes.length} crashes`);
  }
  t.end();
});

t.test(
  "of parts that always occur together, the one that fewer requests share is convicted",
  (t) => {
    const cluster = new Cluster({ seed: 1, entryVms: 3 });
    for (let index = 0; index < 5; index += 1) {
      cluster.request(["first", "deadly"], new Set(["deadly"]));
      cluster.advanceTo(cluster.now + 3_000);
    }
    t.equal(cluster.countQuarantining("deadly"), 3);
    t.equal(cluster.countQuarantining("first"), 0);
    t.end();
  },
);

// Guards against BUDGET after a restart: the verdict must reach an entry VM without state.
t.test("a restarted entry VM learns the verdict, also when all restart in turn", (t) => {
  for (const seed of seeds) {
    const cluster = new Cluster({ seed, entryVms: 6 });
    const deadly = new Set(["deadly"]);
    for (let index = 0; index < 5; index += 1) {
      cluster.request(["deadly"], deadly);
      cluster.advanceTo(cluster.now + 1_500);
    }
    t.equal(cluster.countQuarantining("deadly"), 6, `seed ${seed}`);
    for (let vm = 0; vm < 6; vm += 1) {
      cluster.restart(vm);
      cluster.advanceTo(cluster.now + stableTime);
    }
    t.equal(cluster.countQuarantining("deadly"), 6, `seed ${seed}`);
  }
  t.end();
});

t.test("entry VMs that were cut off learn the verdict soon after the cut", (t) => {
  for (const seed of seeds) {
    const cluster = new Cluster({ seed, entryVms: 9 });
    for (const vm of [0, 1, 2]) cluster.isolated.add(vm);
    for (let index = 0; index < 12; index += 1) {
      cluster.request(["deadly"], new Set(["deadly"]));
      cluster.advanceTo(cluster.now + 1_000);
    }
    cluster.isolated.clear();
    cluster.advanceTo(cluster.now + stableTime);
    t.equal(cluster.countQuarantining("deadly"), 9, `seed ${seed}`);
  }
  t.end();
});

t.test("a verdict ends with one trial at one entry VM; a failed trial makes it longer", (t) => {
  const cluster = new Cluster({ seed: 1, entryVms: 6 });
  const deadly = new Set(["deadly"]);
  const sendFor = (duration: number, deadlyParts: ReadonlySet<string>): void => {
    const end = cluster.now + duration;
    while (cluster.now < end) {
      cluster.request(["deadly"], deadlyParts, 1);
      cluster.advanceTo(cluster.now + 500);
    }
  };
  sendFor(10_000, deadly);
  const crashesToConvict = cluster.crashTimes.length;
  t.ok(crashesToConvict <= 5);
  sendFor(4 * minute, deadly);
  t.equal(cluster.crashTimes.length, crashesToConvict, "no trial before the verdict ends");
  sendFor(2 * minute, deadly);
  t.equal(cluster.crashTimes.length, crashesToConvict + 1, "one trial");
  sendFor(15 * minute, deadly);
  t.equal(cluster.crashTimes.length, crashesToConvict + 1, "no further trial for longer");
  sendFor(6 * minute, new Set());
  t.equal(cluster.countQuarantining("deadly"), 0, "an answer that lives lifts the verdict");
  t.end();
});

t.test("a peer cannot revive records and verdicts whose lifetime is over", (t) => {
  const [left, right] = [new PromptQuarantine(), new PromptQuarantine()];
  for (let crash = 0; crash < 3; crash += 1) left.recordCrash(`target-${crash}/1`, ["part"], crash);
  const transitTime = 300;
  const end = 4 * 24 * 60 * minute;
  let now = 2_000;
  left.review(now);
  for (; now < end; now += now < 20 * minute ? 1_000 : 10 * minute) {
    right.merge(left.getState(now), now + transitTime);
    left.merge(right.getState(now), now + transitTime);
    left.review(now);
    right.review(now);
  }
  t.same(left.getState(now), { records: [], verdicts: [] });
  t.same(right.getState(now), { records: [], verdicts: [] });
  t.end();
});

// Guards against BUDGET: requests are sent in the moment between the end of a pause and the review.
t.test("a request with a part is refused as soon as the evidence is complete", (t) => {
  const vm = new PromptQuarantine();
  const admit = (now: number) => vm.admit(["deadly"], now, () => false).kind;
  for (const at of [0, 500, 1_000]) vm.recordCrash(`target-${at}/1`, ["deadly"], at);
  t.same(vm.review(1_950), []);
  t.equal(admit(1_999), "paused");
  t.equal(admit(2_001), "quarantined", "the next review is not awaited");
  t.equal(vm.review(2_050).length, 1, "the review reports the verdict");
  t.end();
});

t.test("reports of the same crash by several entry VMs count once", (t) => {
  const vms = [new PromptQuarantine(), new PromptQuarantine(), new PromptQuarantine()];
  for (const vm of vms) vm.recordCrash("target-1/1", ["part"], 0);
  for (const vm of vms) for (const other of vms) vm.merge(other.getState(10), 10);
  for (const vm of vms) t.same(vm.review(5_000), []);
  t.end();
});

t.test("a message that is not valid is ignored", (t) => {
  const vm = new PromptQuarantine();
  const invalidState = { records: [{}], verdicts: [] };
  for (const message of [undefined, null, 1, {}, { digest: "", state: invalidState }])
    t.equal(vm.mergeExchange(message, 0), undefined);
  t.end();
});

t.test("the memory is bounded by the number of parts and crashes", (t) => {
  const vm = new PromptQuarantine();
  for (let index = 0; index < 30_000; index += 1) {
    vm.recordSurvival([`sound-${index}`], index);
    if (index % 10 === 0) vm.recordCrash(`target-${index}/1`, [`crashed-${index}`], index);
  }
  t.ok(vm.getState(30_000).records.length <= 64);
  t.end();
});

// Guards against evidence that takes more of an entry VM's network than docs/CAPACITY.md allows.
t.test("many crashes cost each of 90 entry VMs less than 30 kB a second", (t) => {
  const maximumBytesPerSecond = 30_000;
  for (const seed of seeds.slice(0, 2)) {
    const cluster = new Cluster({ seed, entryVms: 90, hasTriggers: true });
    const pickParts = (): string[] => [`first-${cluster.pick(30)}`, `subject-${cluster.pick(200)}`];
    const requestsPerStep = 7;
    while (cluster.now < 20_000) {
      cluster.advanceTo(cluster.now + 50);
      for (let index = 0; index < requestsPerStep; index += 1)
        cluster.request(pickParts(), new Set());
      if (cluster.now % 500 === 0 && cluster.crashTimes.length < 20)
        cluster.crashTarget(
          Array.from({ length: 15 }, () => ({ vm: cluster.pick(90), parts: pickParts() })),
        );
    }
    const busiest = Math.max(...cluster.transferredBytes) / 20;
    t.ok(busiest < maximumBytesPerSecond, `seed ${seed}: ${Math.round(busiest)} B/s`);
  }
  t.end();
});
