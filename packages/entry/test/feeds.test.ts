//! The feeds of the store beside exceptions in the code that applies their rows.
import { TargetRegistry } from "@lovagebend/attempts";
import { ListedState } from "@lovagebend/catalog";
import type { Logger } from "@lovagebend/common";
import { Result } from "true-myth";
import t from "tap";
import type { EntryDependencies } from "../src/index.js";
import { ReplicatedState } from "../src/replicated-state.js";
import { entryLimits } from "./entry-limits.js";
import { ScriptedStore } from "./scripted-store.js";
import { VirtualClock } from "./virtual-clock.js";

// Guards against an exception for one row that ends the process or keeps other rows from being
// applied.
t.test("a row whose decoding throws is logged, and the other rows are applied", async (t) => {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock);
  const events: { event: string; fields: unknown }[] = [];
  const log = (event: string, fields: unknown = {}): void => {
    events.push({ event, fields });
  };
  const logger: Logger = { info: log, warn: log, error: log };
  const targetRegistry = new TargetRegistry(clock, logger);
  const dependencies: Partial<EntryDependencies> = {
    clock,
    logger,
    store,
    limits: entryLimits,
    tables: {
      document: "op",
      documentKey: "config",
      targets: "servers",
      entryVms: "vms",
      verdicts: "v",
    },
    readTarget: (name) => {
      if (name === "odd") throw new Error("thrown while decoding");
      return Result.ok({
        name,
        service: "portal",
        host: "127.0.0.1",
        port: 80,
        dataCentre: "north",
        state: ListedState.Ready,
        born: 1,
        slots: 8,
        card: undefined,
        layers: undefined,
      });
    },
  };
  const replicatedState = new ReplicatedState(dependencies as EntryDependencies, targetRegistry);
  replicatedState.onStoreChanges = () => {
    throw new Error("thrown by a callback");
  };
  const subscription = replicatedState.followStore();
  t.teardown(() => {
    subscription.unsubscribe();
  });
  store.put("servers", "odd", "entry");
  store.put("servers", "a", "entry");
  await clock.advanceTo(2_000);
  store.put("servers", "b", "entry");
  await clock.advanceTo(6_000);
  t.ok(targetRegistry.get("a"));
  t.ok(targetRegistry.get("b"), "the feed goes on");
  t.match(events, [{ event: "target entry could not be decoded", fields: { target: "odd" } }]);
  t.ok(events.some(({ event }) => event === "task failed"));
});
