//! Point 5: a leaving target gets no new work after a few seconds, and no list of VMs
//! empties the pool.
import t from "tap";
import { explore } from "../src/explore.js";
import {
  drawMembershipFaults,
  runMembership,
  type MembershipFaults,
} from "../src/membership-scenario.js";
import { judgeMembershipHistory } from "../src/scenarios.js";
import { Simulation } from "../src/world.js";

const schedules = 60;
const seeds = [51, 52];
const faultsOneIn = 5;
const nothing = { from: 0, until: 0 };
const noFaults: MembershipFaults = {
  leavingAt: 10_000,
  tellsItself: false,
  listLag: 0,
  listOut: nothing,
  listEmpty: nothing,
  listStale: nothing,
  cutFromPlatform: [],
  cutFromPeers: [],
  cutSpan: nothing,
};

t.test("leaving targets are left alone and serving ones stay in the pool", async (t) => {
  for (const seed of seeds) {
    const result = await explore(
      async (simulation) => {
        const faults = drawMembershipFaults(simulation, faultsOneIn);
        return judgeMembershipHistory(await runMembership(simulation, faults), faults);
      },
      seed,
      schedules,
      false,
    );
    t.equal(result.violation, undefined, `seed ${seed}`);
  }
});

const whole = { from: 0, until: 40_000 };
const sessions: readonly [string, Partial<MembershipFaults>][] = [
  ["the platform's list says that a target is leaving", {}],
  ["the target itself says so while the platform is out", { tellsItself: true, listOut: whole }],
  [
    "an entry VM cut off from the platform hears it from its peers",
    { cutFromPlatform: ["north-2"], cutSpan: whole },
  ],
  [
    "the list is empty for a while after the notice",
    { listEmpty: { from: 14_000, until: 25_000 } },
  ],
  [
    "the list is stale for a while after the notice",
    { listStale: { from: 14_000, until: 25_000 } },
  ],
  [
    "two failures: the list is empty and an entry VM is cut off from its peers",
    {
      tellsItself: true,
      listEmpty: { from: 5_000, until: 30_000 },
      cutFromPeers: ["north-3"],
      cutSpan: whole,
    },
  ],
  [
    "two failures: one entry VM is cut off from the platform, its peers from each other",
    {
      cutFromPlatform: ["north-1"],
      cutFromPeers: ["north-2", "north-3"],
      cutSpan: { from: 3_600, until: 23_400 },
    },
  ],
  [
    "two failures: the only entry VM that reads the list is cut off from its peers",
    {
      leavingAt: 5_000,
      cutFromPlatform: ["north-1", "north-2"],
      cutFromPeers: ["north-3"],
      cutSpan: { from: 0, until: 10_001 },
    },
  ],
  [
    "two failures: the list is stale and then empty",
    { listStale: { from: 14_000, until: 20_000 }, listEmpty: { from: 20_000, until: 30_000 } },
  ],
];

for (const [name, change] of sessions) {
  t.test(name, async (t) => {
    const faults = { ...noFaults, ...change };
    const history = await runMembership(new Simulation(), faults);
    t.same(judgeMembershipHistory(history, faults), []);
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "session");
  });
}

// Found by exploration with seed 20261204: the judge took a peer for told that was cut off
// from the platform as well.
t.test("a peer that cannot know of a notice is not expected to pass it on", async (t) => {
  const faults: MembershipFaults = {
    ...noFaults,
    leavingAt: 5_000,
    cutFromPlatform: ["north-1", "north-2"],
    cutFromPeers: ["north-3"],
    cutSpan: { from: 0, until: 10_001 },
  };
  const { seen } = await runMembership(new Simulation(), faults);
  const told = (from: number, until: number) =>
    seen.some(
      (item) => item.entryVm !== "north-3" && item.told && item.at >= from && item.at < until,
    );
  t.equal(told(5_000, 10_000), false, "nobody could tell them");
  t.equal(told(10_500, 12_000), true, "from the end of the cut on the promise holds");
});
