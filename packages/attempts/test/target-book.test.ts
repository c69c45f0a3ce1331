//! What an entry VM believes of targets, by its own evidence and by what others say.
import { ListedState, type ListedTarget } from "@lovagebend/catalog";
import type { Clock, Logger } from "@lovagebend/common";
import t from "tap";
import { TargetBook } from "../src/index.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

function createScenario(): { book: TargetBook; advance: (milliseconds: number) => void } {
  let time = 0;
  const clock: Clock = {
    monotonic: () => time,
    wall: () => time,
    sleep: () => Promise.resolve(),
  };
  const book = new TargetBook(clock, logger);
  for (const name of ["a", "b"]) book.list(target(name));
  return {
    book,
    advance: (milliseconds) => {
      time += milliseconds;
    },
  };
}

function target(name: string): ListedTarget {
  return {
    name,
    service: "portal",
    host: "127.0.0.1",
    port: name.charCodeAt(0),
    dataCentre: "north",
    state: ListedState.Ready,
    born: 1,
    slots: 8,
    card: undefined,
    layers: undefined,
  };
}

t.test("a target that others doubt comes after the rest, and is not left out", (t) => {
  const { book, advance } = createScenario();
  t.equal(book.heardDoubts(["a", "unknown"]), true, "news, to be passed on");
  t.same(
    book.servingTargets("portal").map(({ name }) => name),
    ["a", "b"],
  );
  t.ok((book.get("a")?.peerSuspectedUntil ?? 0) > 0);
  t.notOk((book.get("a")?.refusingUntil ?? 0) > 0, "replicas of plain services are not spared");
  t.equal(book.heardDoubts(["a"]), false, "no longer news, so that it is passed on once");
  advance(2_000);
  t.ok((book.get("a")?.peerSuspectedUntil ?? 0) < 2_000, "hearsay is forgotten soon");
  t.end();
});

t.test("a new doubt of its own is told at once, and only once", (t) => {
  const { book } = createScenario();
  let notifications = 0;
  book.onDoubt = () => {
    notifications += 1;
  };
  book.suspect("a", "no connection");
  book.suspect("a", "no connection");
  t.equal(notifications, 1);
  t.same(
    book.servingTargets("portal").map(({ name }) => name),
    ["b"],
  );
  t.end();
});

t.test("an entry that a peer saw lapse while the store was away has time to come back", (t) => {
  const { book, advance } = createScenario();
  book.unlist("a", 1_000);
  t.equal(book.graceLeft(), 1_000, "which is passed on");
  book.expire();
  t.ok(book.get("a"), "it keeps its place");
  advance(1_001);
  book.expire();
  t.equal(book.get("a"), undefined, "and is gone when that time is over");
  book.unlist("b");
  t.equal(book.get("b"), undefined, "without an outage an entry that is gone is gone");
  t.equal(book.graceLeft(), 0);
  t.end();
});
