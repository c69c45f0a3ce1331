//! The entry VMs known by gossip. Every request asks for their number, so that the work must not
//! grow with the number of questions.
import { rankByRendezvousHash } from "@lovagebend/common";
import type { GossipEntry } from "@lovagebend/membership";
import t from "tap";
import type { EntryIdentity } from "../src/entry-dependencies.js";
import { EntryVmDirectory } from "../src/entry-vm-directory.js";
import { VirtualClock } from "./virtual-clock.js";

const identity: EntryIdentity = {
  name: "vm-0",
  dataCentre: "north",
  callers: { host: "127.0.0.1", port: 1 },
  readiness: { host: "127.0.0.1", port: 2 },
  peers: { host: "127.0.0.1", port: 3 },
  metrics: undefined,
  seeds: [],
  readinessPath: "/readyz",
  metricsPath: "/metrics",
};

interface StatedVm {
  readonly age?: number;
  readonly dataCentre?: string;
  readonly isStopping?: boolean;
}

function createDirectory(vms: Record<string, StatedVm>) {
  const clock = new VirtualClock();
  let readCount = 0;
  const stated = new Map(Object.entries(vms));
  const facts = (key: string): GossipEntry[] => {
    readCount += 1;
    return [...stated].map(([owner, { age = 0, dataCentre = "north", isStopping = false }]) => ({
      owner,
      key,
      version: 1,
      age,
      value: { address: "127.0.0.1:9", dataCentre, isStopping },
    }));
  };
  const directory = new EntryVmDirectory(identity, { facts }, clock);
  return { directory, clock, stated, countReads: () => readCount };
}

t.test("the facts are read once for all questions within a short time", async (t) => {
  const { directory, clock, stated, countReads } = createDirectory({ "vm-1": {}, "vm-2": {} });
  for (let question = 0; question < 1_000; question += 1) {
    t.equal(directory.count(), 3);
    directory.countLocal();
    directory.hasRole("placement");
  }
  t.equal(countReads(), 1);
  stated.set("vm-3", {});
  await clock.advanceTo(100);
  t.equal(directory.count(), 4, "a new entry VM counts soon after");
  t.equal(countReads(), 2);
});

t.test("silent and stopping entry VMs hold no role but count as entry VMs", (t) => {
  const { directory } = createDirectory({
    "vm-1": { age: 3_600 },
    "vm-2": { isStopping: true },
    "vm-3": { dataCentre: "south" },
  });
  t.same(directory.findLive(), ["vm-0", "vm-3"]);
  t.equal(directory.count(), 4);
  t.equal(directory.countLocal(), 2, "one that is stopping still sends requests");
  for (const role of ["placement", "verdict on a", "verdict on b"])
    t.equal(directory.findRoleHolder(role), rankByRendezvousHash(role, ["vm-0", "vm-3"])[0]);
  t.end();
});

t.test("an entry VM gives its roles up at once when it stops", (t) => {
  const { directory } = createDirectory({});
  t.equal(directory.hasRole("placement"), true);
  directory.stop();
  t.equal(directory.hasRole("placement"), false);
  t.same(directory.findLive(), []);
  t.end();
});

t.test("all entry VMs of a data centre rank its entry VMs in the same order", (t) => {
  const names = ["vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
  const others = Object.fromEntries(names.slice(1).map((name) => [name, {}]));
  const { directory } = createDirectory({ ...others, away: { dataCentre: "south" } });
  t.same(directory.rankLocal("follow"), rankByRendezvousHash("follow", names));
  t.end();
});
