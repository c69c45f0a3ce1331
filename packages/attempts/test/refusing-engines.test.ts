//! Tests of streams that an engine refuses because of another engine on their path, which has changed.
import t, { type Test } from "tap";
import {
  formatEvent,
  refuse,
  reset,
  sendEvents,
  StreamFixture,
  type FakedEngine,
} from "./stream-fixture.js";

const lower = { first: 0, end: 1 };
const upper = { first: 1, end: 2 };

// A stream that its first engine refuses once, after `change`, because of the engine behind it.
async function runRefusedStream(
  t: Test,
  change: (fixture: StreamFixture, behind: FakedEngine) => void,
): Promise<{ readonly fixture: StreamFixture; readonly first: FakedEngine }> {
  const fixture = new StreamFixture();
  t.teardown(() => {
    fixture.close();
  });
  const behind = await fixture.addEngine("behind", reset, upper);
  const first = await fixture.addEngine(
    "first",
    (response, count) => {
      if (count === 1) {
        change(fixture, behind);
        refuse(response, behind.port);
        return;
      }
      sendEvents(response, 1);
      response.end();
    },
    lower,
  );
  await fixture.run();
  return { fixture, first };
}

// Guards against refusals of requests that could be served: the first engine was taken for the one that
// had refused, and left out.
t.test("an engine that has left after its refusal is not taken for the first one", async (t) => {
  const { fixture, first } = await runRefusedStream(t, (fixture, behind) => {
    fixture.updateEntry(behind.name, { name: "other", port: 1 });
    fixture.removeEntry(behind.name);
  });
  t.strictSame(first.paths, ["first:0-1 behind:1-2", "first:0-1 other:1-2"]);
  t.equal(fixture.answer.text, formatEvent(1));
});

// Guards against the same: the successor on the address was taken for the engine that had refused.
t.test("a new engine on the address of one that refused gets requests", async (t) => {
  const { fixture, first } = await runRefusedStream(t, (fixture, behind) => {
    fixture.updateEntry(behind.name, { name: "successor", born: 2 });
  });
  t.strictSame(first.paths, ["first:0-1 behind:1-2", "first:0-1 successor:1-2"]);
  t.equal(fixture.answer.text, formatEvent(1));
});
