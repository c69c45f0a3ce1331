//! Point 7: an accepted configuration is in force everywhere within seconds and never
//! reverts.
import t from "tap";
import { explore } from "../src/explore.js";
import { TableFault } from "../src/fake-table.js";
import { judgeSettingsHistory } from "../src/scenarios.js";
import {
  drawChanges,
  drawSettingsFaults,
  runSettings,
  type PlannedChange,
  type SettingsFaults,
} from "../src/settings-scenario.js";
import { Simulation } from "../src/world.js";

const schedules = 120;
const seeds = [31, 32, 33];
const faultsOneIn = 5;
const noFaults: SettingsFaults = {
  tableFault: () => TableFault.None,
  outage: { from: 0, until: 0 },
  cuts: [],
  replacements: [],
};

function change(
  team: string,
  entryVm: string,
  at: number,
  extra: Partial<PlannedChange> = {},
): PlannedChange {
  return { team, entryVm, at, refers: false, removes: false, ...extra };
}

t.test("settings never revert and come into force everywhere", async (t) => {
  for (const seed of seeds) {
    const result = await explore(
      async (simulation) =>
        judgeSettingsHistory(
          await runSettings(
            simulation,
            drawChanges(simulation),
            drawSettingsFaults(simulation, faultsOneIn),
          ),
        ),
      seed,
      schedules,
      false,
    );
    t.equal(result.violation, undefined, `seed ${seed}`);
  }
});

const sessions: readonly [string, readonly PlannedChange[], Partial<SettingsFaults>][] = [
  [
    "two operators race on one subtree: one wins, the other sees what it lost to",
    [change("advisory", "north-1", 3_000), change("advisory", "south-1", 3_000)],
    {},
  ],
  [
    "two operators change different subtrees at once: both win",
    [change("advisory", "north-1", 3_000), change("orders", "south-1", 3_000)],
    {},
  ],
  [
    "a change is invalid only together with another team's",
    [
      change("advisory", "north-1", 3_000, { refers: true }),
      change("orders", "north-2", 5_000, { removes: true }),
      change("advisory", "north-1", 8_000, { removes: true }),
      change("orders", "north-2", 11_000, { removes: true }),
    ],
    {},
  ],
  [
    "an entry VM is cut off from the platform and the others: accepted only when it is back",
    [change("orders", "north-1", 3_000)],
    { cuts: [{ entryVm: "south-1", from: 2_500, until: 14_000, fromPeers: true }] },
  ],
  [
    "an entry VM is cut off from the platform only and learns from its peers",
    [change("orders", "north-1", 3_000)],
    { cuts: [{ entryVm: "south-1", from: 2_500, until: 14_000, fromPeers: false }] },
  ],
  [
    "two failures: an entry VM is replaced while the platform is out, and one peer is behind",
    [change("orders", "north-1", 3_000)],
    {
      outage: { from: 6_000, until: 16_000 },
      cuts: [{ entryVm: "north-2", from: 2_500, until: 9_000, fromPeers: true }],
      replacements: [{ entryVm: "south-1", at: 8_000 }],
    },
  ],
  [
    "two failures: an entry VM is replaced twice while the platform is out",
    [change("orders", "north-1", 3_000)],
    {
      outage: { from: 5_000, until: 15_000 },
      replacements: [
        { entryVm: "south-1", at: 7_000 },
        { entryVm: "south-1", at: 8_000 },
      ],
    },
  ],
];

for (const [name, changes, faults] of sessions) {
  t.test(name, async (t) => {
    const history = await runSettings(new Simulation(), changes, { ...noFaults, ...faults });
    t.same(judgeSettingsHistory(history), []);
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "session");
  });
}

t.test("the answer to a change is lost after it took effect", async (t) => {
  let writes = 0;
  // Faults strike reads as well; the fourth call of the change is its write.
  const tableFault = (): TableFault => {
    writes += 1;
    return writes === faultyCall ? TableFault.AnswerLost : TableFault.None;
  };
  const history = await runSettings(new Simulation(), [], { ...noFaults, tableFault });
  t.same(judgeSettingsHistory(history), []);
  t.equal(history.applied[0]?.outcome.kind, "committed");
  t.matchSnapshot(`${history.transcript.join("\n")}\n`, "session");
});

const faultyCall = 6;
