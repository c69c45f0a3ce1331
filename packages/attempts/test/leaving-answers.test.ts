//! Tests of targets that say in their answers that they leave, while their entries say nothing.
import type http from "node:http";
import { systemClock } from "@lovagebend/common";
import t, { type Test } from "tap";
import { sendEvents, StreamFixture } from "./stream-fixture.js";

const requestCount = 20;
// Longer than a target is avoided after a refusal.
const refusalBackoff = 400;

type Send = (fixture: StreamFixture) => Promise<void>;

const kinds: readonly (readonly [string, Send])[] = [
  ["stream", (fixture) => fixture.run()],
  ["plain request", (fixture) => fixture.runBuffered()],
];

// Two targets, the first of which leaves from its first answer on. Returns the requests of each.
async function sendToLeavingTarget(
  t: Test,
  send: Send,
  leave: (response: http.ServerResponse) => void,
): Promise<{ readonly leaving: () => number; readonly fixture: StreamFixture }> {
  const fixture = new StreamFixture();
  t.teardown(() => {
    fixture.close();
  });
  const leaving = await fixture.addEngine("leaving", (response) => {
    leave(response);
    sendEvents(response, 1);
    response.end();
  });
  await fixture.addEngine("staying", (response) => {
    sendEvents(response, 1);
    response.end();
  });
  for (let index = 0; index < requestCount; index += 1) {
    fixture.requestId = `request-${index}`;
    await send(fixture);
  }
  return { fixture, leaving: () => leaving.responses.length };
}

for (const [kind, send] of kinds) {
  // Guards against DRAIN, and against orders that are lost when such a replica exits.
  t.test(`a target gets no ${kind} after an answer that says that it leaves`, async (t) => {
    const { leaving } = await sendToLeavingTarget(t, send, (response) => {
      response.setHeader("server-leaving", "1");
    });
    t.equal(leaving(), 1);
  });

  t.test(`a new process under its name gets a ${kind} again`, async (t) => {
    const { fixture, leaving } = await sendToLeavingTarget(t, send, (response) => {
      response.setHeader("server-leaving", "1");
    });
    fixture.updateEntry("leaving", {});
    await send(fixture);
    t.equal(leaving(), 1, "its entry alone does not say that it stays");
    fixture.updateEntry("leaving", { born: 2 });
    fixture.removeEntry("staying");
    await send(fixture);
    t.equal(leaving(), 2);
  });

  t.test(`the refusal of another process does not keep a ${kind} away`, async (t) => {
    const fixture = new StreamFixture();
    t.teardown(() => {
      fixture.close();
    });
    const target = await fixture.addEngine("target", (response, count) => {
      if (count === 1) {
        const headers = { "attempt-id": fixture.requestId, "not-executed": "1" };
        response.writeHead(421, { ...headers, "server-leaving": "1" }).end();
        return;
      }
      sendEvents(response, 1);
      response.end();
    });
    await t.rejects(send(fixture));
    await systemClock.sleep(refusalBackoff);
    fixture.requestId = "request-2";
    await send(fixture);
    t.equal(target.responses.length, 2);
  });
}
