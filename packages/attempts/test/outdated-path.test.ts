//! Tests of streams whose chosen path changes while a grant of its first engine is awaited.
import { ListedState } from "@lovagebend/catalog";
import { ErrorKind, RunState, systemClock } from "@lovagebend/common";
import t, { type Test } from "tap";
import { Urgency } from "../src/index.js";
import {
  formatEvent,
  reset,
  sendEvents,
  StreamFixture,
  until,
  type FakedEngine,
} from "./stream-fixture.js";

const lower = { first: 0, end: 1 };
const upper = { first: 1, end: 2 };
const upperNames = ["upper-1", "upper-2"];
// Well below the time that a request may wait for a path.
const promptly = 500;
const settlingTime = 200;

interface Outdating {
  readonly name: string;
  readonly change: (fixture: StreamFixture, engine: string) => void;
}

const outdatings: readonly Outdating[] = [
  {
    name: "its entry is removed",
    change: (fixture, engine) => {
      fixture.removeEntry(engine);
    },
  },
  {
    name: "it is draining",
    change: (fixture, engine) => {
      fixture.updateEntry(engine, { state: ListedState.Leaving });
    },
  },
  {
    name: "it has been restarted under its name and holds nothing",
    change: (fixture, engine) => {
      fixture.updateEntry(engine, { born: 2, layers: undefined });
    },
  },
  {
    name: "it has loaded other layers",
    change: (fixture, engine) => {
      fixture.updateEntry(engine, { layers: lower });
    },
  },
  {
    name: "it is suspected",
    change: (fixture, engine) => {
      fixture.suspect(engine);
    },
  },
];

function createFixture(t: Test): StreamFixture {
  const fixture = new StreamFixture();
  t.teardown(() => {
    fixture.close();
  });
  return fixture;
}

// An engine of the lower layers that answers from `firstEvent` on.
function addLower(fixture: StreamFixture, name: string, firstEvent = 1): Promise<FakedEngine> {
  return fixture.addEngine(
    name,
    (response) => {
      sendEvents(response, firstEvent);
      response.end();
    },
    lower,
  );
}

function addUpper(fixture: StreamFixture, name: string): Promise<FakedEngine> {
  return fixture.addEngine(name, reset, upper);
}

// Has `change` applied once, while a grant is awaited.
function changeDuringGrant(fixture: StreamFixture, change: () => void): void {
  fixture.onAcquire = () => {
    fixture.onAcquire = () => undefined;
    change();
  };
}

for (const { name, change } of outdatings) {
  // Guards against LAYERS: the stream ran without the layers of an engine that had left.
  t.test(`a stream is sent past an engine of its path if ${name}`, async (t) => {
    const fixture = createFixture(t);
    // A second dispatch would be refused.
    fixture.hasBudget = false;
    const first = await addLower(fixture, "lower");
    for (const upperName of upperNames) await addUpper(fixture, upperName);
    const spare = await addUpper(fixture, "spare");
    fixture.removeEntry(spare.name);
    changeDuringGrant(fixture, () => {
      fixture.updateEntry(spare.name, {});
      for (const upperName of upperNames) change(fixture, upperName);
    });
    await fixture.run();
    t.strictSame(first.paths, ["lower:0-1 spare:1-2"]);
    t.equal(fixture.answer.text, formatEvent(1));
    t.ok(fixture.answer.isComplete);
  });
}

// Guards against LAYERS, and against a wait of which it is known that it is in vain.
t.test("a request is refused at once if its path is gone and no other is left", async (t) => {
  const fixture = createFixture(t);
  const first = await addLower(fixture, "lower");
  await addUpper(fixture, "upper");
  changeDuringGrant(fixture, () => {
    fixture.removeEntry("upper");
  });
  const startedAt = performance.now();
  const error = await fixture.run().catch((thrown: unknown) => thrown);
  t.match(error, { kind: ErrorKind.NoPath, run: RunState.NotRun });
  t.ok(performance.now() - startedAt < promptly);
  t.strictSame(first.paths, []);
});

// Guards against LAYERS in the rest of an answer.
t.test("a stream is resumed on a path that is whole", async (t) => {
  const fixture = createFixture(t);
  const first = await fixture.addEngine("first", (response) => {
    sendEvents(response, 1);
  });
  const done = fixture.run();
  await until(() => fixture.answer.text === formatEvent(1));
  const second = await addLower(fixture, "lower", 2);
  await addUpper(fixture, "upper");
  const spare = await addUpper(fixture, "spare");
  fixture.removeEntry(spare.name);
  changeDuringGrant(fixture, () => {
    fixture.removeEntry("upper");
    fixture.updateEntry(spare.name, {});
  });
  first.responses.forEach(reset);
  await done;
  t.strictSame(second.paths, ["lower:0-1 spare:1-2"]);
  t.equal(fixture.answer.text, formatEvent(1) + formatEvent(2));
  t.ok(fixture.answer.isComplete);
});

// Guards against LAYERS in the rest of the answer of a silent engine.
t.test("the rest of a silent engine's stream is offered on no path with a gap", async (t) => {
  const fixture = createFixture(t);
  const first = await fixture.addEngine("first", (response) => {
    sendEvents(response, 1);
  });
  const done = fixture.run();
  await until(() => fixture.answer.text === formatEvent(1));
  const second = await addLower(fixture, "lower", 2);
  await addUpper(fixture, "upper");
  let hasChanged = false;
  changeDuringGrant(fixture, () => {
    fixture.removeEntry("upper");
    hasChanged = true;
  });
  fixture.reroute(first, Urgency.Now);
  await until(() => hasChanged);
  await systemClock.sleep(settlingTime);
  for (const response of first.responses) {
    sendEvents(response, 2);
    response.end();
  }
  await done;
  t.strictSame(second.paths, []);
  t.equal(fixture.answer.text, formatEvent(1) + formatEvent(2));
});

// Guards against LIMIT: the request came in another second than the one that it was granted for.
t.test("a grant from before a wait for evidence is not used after it", async (t) => {
  const fixture = createFixture(t);
  const first = await fixture.addEngine("first", (response) => {
    sendEvents(response, 1);
  });
  const done = fixture.run();
  await until(() => fixture.answer.text === formatEvent(1));
  await addLower(fixture, "lower", 2);
  await addUpper(fixture, "upper");
  const grantedAt: number[] = [];
  fixture.onAcquire = () => grantedAt.push(performance.now());
  fixture.admission = { kind: "paused", part: "part", retryAfter: settlingTime };
  first.responses.forEach(reset);
  await until(() => grantedAt.length === 1);
  const admittedAt = performance.now();
  fixture.admission = { kind: "admitted" };
  await done;
  t.ok(fixture.answer.isComplete);
  t.ok((grantedAt.at(-1) ?? 0) > admittedAt);
});
