//! Tests of the form in which paths are sent to engines.
import { ListedState } from "@lovagebend/catalog";
import { systemClock, type Logger } from "@lovagebend/common";
import t from "tap";
import { EnginePath, PartFault } from "../src/engine-path.js";
import { TargetRegistry } from "../src/index.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };
const layerCount = 4;

function createRegistry(): TargetRegistry {
  const registry = new TargetRegistry(systemClock, logger);
  for (const [index, name] of ["a", "b", "c"].entries())
    registry.addOrUpdate({
      name,
      service: "model",
      host: "127.0.0.1",
      port: 1 + index,
      dataCentre: "north",
      state: ListedState.Ready,
      born: 1,
      slots: 1,
      card: "card",
      layers: { first: 0, end: layerCount },
    });
  return registry;
}

// Parts are written as in log lines: `target:first-end`.
function resolve(path: string, keptTarget?: string, registry = createRegistry()) {
  const parts = path.split(" ").flatMap((text) => {
    const [target = "", range = ""] = text.split(":");
    const [first = NaN, end = NaN] = range.split("-").map(Number);
    return target === "" ? [] : [{ target, first, end }];
  });
  return EnginePath.resolve(parts, {
    layerCount,
    targetRegistry: registry,
    now: systemClock.monotonicTime(),
    ...(keptTarget === undefined ? {} : { keptTarget }),
  });
}

t.test("a path that runs each layer once and in order is sent", (t) => {
  for (const path of ["a:0-4", "a:0-1 b:1-4", "c:0-1 a:1-2 b:2-4"]) {
    const resolved = resolve(path);
    t.ok(resolved.isOk, path);
    if (resolved.isOk)
      t.strictSame(
        resolved.value.parts.map(({ target, engine }) => [target, engine.name]),
        resolved.value.parts.map(({ target }) => [target, target]),
      );
  }
  t.end();
});

t.test(
  "a path with a gap, an overlap, another order, a repeated engine or no part is none",
  (t) => {
    for (const path of [
      "",
      "a:1-4",
      "a:0-3",
      "a:0-5",
      "a:0-1 b:2-4",
      "a:0-2 b:1-4",
      "a:2-4 b:0-2",
      "a:0-2 b:2-2 c:2-4",
      "a:0-1 b:1-2 a:2-4",
      "a:0-x b:2-4",
    ])
      t.ok(resolve(path).isErr, path);
    t.end();
  },
);

t.test("a part that a running answer keeps may be at an engine that leaves or gives it up", (t) => {
  const registry = createRegistry();
  const leaving = registry.get("a");
  if (leaving === undefined) throw new Error("not listed");
  registry.addOrUpdate({ ...leaving, state: ListedState.Leaving, layers: { first: 3, end: 4 } });
  t.ok(resolve("a:0-2 b:2-4", "a", registry).isOk);
  const refused = resolve("a:0-2 b:2-4", undefined, registry);
  t.equal(refused.isErr && refused.error[0]?.fault, PartFault.Leaving);
  registry.markUnlisted("a");
  const gone = resolve("a:0-2 b:2-4", "a", registry);
  t.equal(gone.isErr && gone.error[0]?.fault, PartFault.Gone);
  t.end();
});
