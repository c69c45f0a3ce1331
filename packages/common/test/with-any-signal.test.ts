//! Tests of a task that several signals can end.
import { getEventListeners } from "node:events";
import t from "tap";
import { withAnySignal } from "../src/index.js";

const waitForAbort = (signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) resolve();
    else
      signal.addEventListener("abort", () => {
        resolve();
      });
  });

t.test("each of the signals ends the task", async (t) => {
  for (const index of [0, 1]) {
    const controllers = [new AbortController(), new AbortController()];
    const ended = withAnySignal(
      controllers.map(({ signal }) => signal),
      waitForAbort,
    );
    controllers[index]?.abort();
    await ended;
  }
  const aborted = AbortSignal.abort();
  t.equal(await withAnySignal([aborted], (signal) => Promise.resolve(signal.aborted)), true);
});

// Guards against memory that grows as long as the process runs.
t.test("nothing is left at the signals, whether the task succeeds or fails", async (t) => {
  const { signal } = new AbortController();
  t.equal(await withAnySignal([signal], () => Promise.resolve("value")), "value");
  await t.rejects(withAnySignal([signal], () => Promise.reject(new Error("failed"))));
  t.same(getEventListeners(signal, "abort"), []);
});
