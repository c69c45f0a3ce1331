//! Explores requirement 7: an accepted configuration is in force at every entry VM within
//! seconds and never reverts.
import t from "tap";
import { explore } from "../src/explore.js";
import { TableFault } from "../src/fake-table.js";
import { checkSettingsHistory } from "../src/scenarios.js";
import {
  drawChanges,
  drawSettingsFaults,
  runSettings,
  type PlannedChange,
  type SettingsFaults,
} from "../src/settings-scenario.js";
import { Simulation } from "../src/simulation.js";

const scheduleCount = 120;
const seeds = [31, 32, 33];
const drawsPerFault = 5;
const noFaults: SettingsFaults = {
  chooseTableFault: () => TableFault.None,
  outage: { from: 0, until: 0 },
  partitions: [],
  replacements: [],
};

function createChange(
  team: string,
  entryVm: string,
  at: number,
  extra: Partial<PlannedChange> = {},
): PlannedChange {
  return { team, entryVm, at, refersToOtherTeam: false, removesRoute: false, ...extra };
}

t.test("settings never revert and take effect at every entry VM", async (t) => {
  for (const seed of seeds) {
    const result = await explore(
      async (simulation) =>
        checkSettingsHistory(
          await runSettings(
            simulation,
            drawChanges(simulation),
            drawSettingsFaults(simulation, drawsPerFault),
          ),
        ),
      seed,
      scheduleCount,
      false,
    );
    t.equal(result.violation, undefined, `seed ${seed}`);
  }
});

const scenarios: readonly [string, readonly PlannedChange[], Partial<SettingsFaults>][] = [
  [
    "one of two concurrent changes to a subtree commits and the other reports the conflicting revision",
    [createChange("advisory", "north-1", 3_000), createChange("advisory", "south-1", 3_000)],
    {},
  ],
  [
    "concurrent changes to different subtrees both commit",
    [createChange("advisory", "north-1", 3_000), createChange("orders", "south-1", 3_000)],
    {},
  ],
  [
    "a change that is invalid in combination with another team's settings is refused",
    [
      createChange("advisory", "north-1", 3_000, { refersToOtherTeam: true }),
      createChange("orders", "north-2", 5_000, { removesRoute: true }),
      createChange("advisory", "north-1", 8_000, { removesRoute: true }),
      createChange("orders", "north-2", 11_000, { removesRoute: true }),
    ],
    {},
  ],
  [
    "a change is accepted only after a partitioned entry VM is reachable again",
    [createChange("orders", "north-1", 3_000)],
    { partitions: [{ entryVm: "south-1", from: 2_500, until: 14_000, includesPeers: true }] },
  ],
  [
    "an entry VM partitioned from the platform receives changes from its peers",
    [createChange("orders", "north-1", 3_000)],
    { partitions: [{ entryVm: "south-1", from: 2_500, until: 14_000, includesPeers: false }] },
  ],
  [
    "two failures: an entry VM replaced while the platform is unavailable and one peer is behind does not revert",
    [createChange("orders", "north-1", 3_000)],
    {
      outage: { from: 6_000, until: 16_000 },
      partitions: [{ entryVm: "north-2", from: 2_500, until: 9_000, includesPeers: true }],
      replacements: [{ entryVm: "south-1", at: 8_000 }],
    },
  ],
  [
    "two failures: an entry VM replaced twice while the platform is unavailable receives the revision from its peers",
    [createChange("orders", "north-1", 3_000)],
    {
      outage: { from: 5_000, until: 15_000 },
      replacements: [
        { entryVm: "south-1", at: 7_000 },
        { entryVm: "south-1", at: 8_000 },
      ],
    },
  ],
];

for (const [name, changes, faults] of scenarios) {
  t.test(name, async (t) => {
    const history = await runSettings(new Simulation(), changes, { ...noFaults, ...faults });
    t.same(checkSettingsHistory(history), []);
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
  });
}

t.test(
  "a change whose response is lost after it took effect is reported as committed",
  async (t) => {
    let callCount = 0;
    // Reads also fail with injected faults; the fourth call of the change is its write.
    const chooseTableFault = (): TableFault => {
      callCount += 1;
      return callCount === faultyCallNumber ? TableFault.ResponseLost : TableFault.None;
    };
    const history = await runSettings(new Simulation(), [], {
      ...noFaults,
      chooseTableFault,
    });
    t.same(checkSettingsHistory(history), []);
    t.equal(history.changeAttempts[0]?.outcome.kind, "committed");
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
  },
);

const faultyCallNumber = 6;
