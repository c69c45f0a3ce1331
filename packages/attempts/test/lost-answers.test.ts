//! Tests of streams whose engines lose the answer before its head, as after a reset of the connection.
import { ErrorKind, RunState } from "@lovagebend/common";
import t, { type Test } from "tap";
import {
  formatEvent,
  reset,
  sendEvents,
  StreamFixture,
  type FakedEngine,
} from "./stream-fixture.js";

const names = ["first", "second", "third"];

function createFixture(t: Test): StreamFixture {
  const fixture = new StreamFixture();
  t.teardown(() => {
    fixture.close();
  });
  fixture.maximumAttempts = 2;
  return fixture;
}

function countRequests(engines: readonly FakedEngine[]): number {
  return engines.reduce((sum, { responses }) => sum + responses.length, 0);
}

// Guards against BUDGET: a stream ran on more engines than its route allows.
t.test("an engine that goes on after it lost an answer counts as an attempt", async (t) => {
  const fixture = createFixture(t);
  const engines = await Promise.all(names.map((name) => fixture.addEngine(name, reset)));
  const error = await fixture.run().catch((thrown: unknown) => thrown);
  t.match(error, { kind: ErrorKind.TargetFailed, run: RunState.Unknown });
  t.equal(countRequests(engines), 2);
});

t.test("an engine that has ended does not count as an attempt", async (t) => {
  const fixture = createFixture(t);
  fixture.hasEnded = () => Promise.resolve(true);
  let requests = 0;
  const answer: Parameters<StreamFixture["addEngine"]>[1] = (response) => {
    requests += 1;
    if (requests < names.length) {
      reset(response);
      return;
    }
    sendEvents(response, 1);
    response.end();
  };
  const engines = await Promise.all(names.map((name) => fixture.addEngine(name, answer)));
  await fixture.run();
  t.equal(countRequests(engines), names.length);
  t.equal(fixture.answer.text, formatEvent(1));
});

// Guards against attempts that are used up by a reset of all kept connections.
t.test("a stream is sent once more over a new connection", async (t) => {
  const fixture = createFixture(t);
  let lost = 0;
  const answer: Parameters<StreamFixture["addEngine"]>[1] = (response) => {
    if (lost > 0) {
      lost -= 1;
      reset(response);
      return;
    }
    sendEvents(response, 1);
    response.end();
  };
  const engines = await Promise.all(names.map((name) => fixture.addEngine(name, answer)));
  const run = (): Promise<void> => {
    fixture.requestId = `request-${countRequests(engines)}`;
    return fixture.run();
  };
  while (engines.some(({ responses }) => responses.length === 0)) await run();
  const keptPorts = engines.flatMap(({ callerPorts }) => callerPorts);
  const before = countRequests(engines);
  lost = 1;
  await run();
  t.equal(countRequests(engines), before + 2);
  const ports = engines.flatMap(({ callerPorts }) => callerPorts);
  t.equal(ports.filter((port) => !keptPorts.includes(port)).length, 1);
});
