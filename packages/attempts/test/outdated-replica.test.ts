//! Tests of plain requests whose chosen replica changes while a grant for it is awaited.
import { ListedState } from "@lovagebend/catalog";
import t from "tap";
import { formatEvent, sendEvents, StreamFixture } from "./stream-fixture.js";

const changes = [
  {
    name: "its entry is removed",
    change: (fixture: StreamFixture, replica: string) => {
      fixture.removeEntry(replica);
    },
  },
  {
    name: "it is draining",
    change: (fixture: StreamFixture, replica: string) => {
      fixture.updateEntry(replica, { state: ListedState.Leaving });
    },
  },
  {
    name: "it has been restarted elsewhere under its name",
    change: (fixture: StreamFixture, replica: string) => {
      fixture.updateEntry(replica, { born: 2, port: 1, state: ListedState.Leaving });
    },
  },
];

// Guards against DRAIN, and against retries for requests that were sent to replicas known to have left.
for (const { name, change } of changes)
  t.test(`a request is sent past its replica if ${name} during the grant`, async (t) => {
    const fixture = new StreamFixture();
    t.teardown(() => {
      fixture.close();
    });
    // A second dispatch would be refused.
    fixture.hasBudget = false;
    const first = await fixture.addEngine("first", (response) => {
      sendEvents(response, 1);
      response.end();
    });
    const second = await fixture.addEngine("second", (response) => {
      sendEvents(response, 2);
      response.end();
    });
    fixture.removeEntry("second");
    fixture.onAcquire = () => {
      fixture.onAcquire = () => undefined;
      fixture.updateEntry("second", {});
      change(fixture, "first");
    };
    await fixture.runBuffered();
    t.equal(first.responses.length, 0);
    t.equal(second.responses.length, 1);
    t.equal(fixture.answer.text, formatEvent(2));
  });
