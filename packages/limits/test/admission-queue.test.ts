//! Admission queue: bounded waits, refusals, and fairness between workspaces.
import { ErrorKind, RunState, type Clock } from "@lovagebend/common";
import t from "tap";
import { AdmissionQueue, Priority, type AdmissionRequest } from "../src/index.js";

class ManualClock implements Clock {
  now = 0;
  private pendingSleeps: { wakeAt: number; resolve: () => void }[] = [];

  monotonicTime(): number {
    return this.now;
  }

  wallClockTime(): number {
    return this.now;
  }

  sleep(duration: number): Promise<void> {
    return new Promise((resolve) => {
      this.pendingSleeps.push({ wakeAt: this.now + duration, resolve });
    });
  }

  async advance(duration: number): Promise<void> {
    this.now += duration;
    const dueSleeps = this.pendingSleeps.filter(({ wakeAt }) => wakeAt <= this.now);
    this.pendingSleeps = this.pendingSleeps.filter(({ wakeAt }) => wakeAt > this.now);
    for (const { resolve } of dueSleeps) resolve();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const neverAborted = new AbortController().signal;

function request(change: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return { workspace: "w", priority: Priority.Interactive, cost: 100, deadline: 60_000, ...change };
}

t.test("a request beyond the capacity waits and starts when capacity is released", async (t) => {
  const clock = new ManualClock();
  const queue = new AdmissionQueue(clock, 100, 2_000, () => 1);
  const first = await queue.admit(request(), neverAborted);
  const second = queue.admit(request(), neverAborted);
  t.same(queue.status, { length: 1, age: 0, running: 1 });
  await clock.advance(300);
  t.equal(queue.status.age, 300);
  if (first.isOk) first.value.release();
  const admitted = await second;
  t.equal(admitted.isOk && admitted.value.waitTime, 300);
});

t.test(
  "a request that reaches the maximum wait is refused as not run, with a retry delay",
  async (t) => {
    const clock = new ManualClock();
    const queue = new AdmissionQueue(clock, 100, 2_000, () => 1);
    await queue.admit(request(), neverAborted);
    const waiting = queue.admit(request(), neverAborted);
    await clock.advance(2_000);
    const refused = await waiting;
    t.match(refused.isErr && refused.error, {
      kind: ErrorKind.QueueFull,
      run: RunState.NotRun,
      retryAfterSeconds: 2,
    });
    t.equal(queue.status.length, 0);
  },
);

t.test("a request that could not meet its deadline is refused immediately", async (t) => {
  const clock = new ManualClock();
  const queue = new AdmissionQueue(clock, 100, 10_000, () => 1);
  for (let round = 0; round < 5; round += 1) {
    const admitted = await queue.admit(request(), neverAborted);
    await clock.advance(1_000);
    if (admitted.isOk) admitted.value.release();
  }
  await queue.admit(request(), neverAborted);
  const refused = await queue.admit(request({ deadline: clock.now + 50 }), neverAborted);
  t.equal(refused.isErr && refused.error.kind, ErrorKind.DeadlineUnreachable);
});

t.test("a waiting request leaves the queue when its caller disconnects", async (t) => {
  const clock = new ManualClock();
  const queue = new AdmissionQueue(clock, 100, 2_000, () => 1);
  await queue.admit(request(), neverAborted);
  const controller = new AbortController();
  const waiting = queue.admit(request(), controller.signal);
  controller.abort();
  const refused = await waiting;
  t.equal(refused.isErr && refused.error.kind, ErrorKind.CallerGone);
  t.equal(queue.status.length, 0);
});

t.test("interactive requests start before background requests, which do not starve", async (t) => {
  const clock = new ManualClock();
  const queue = new AdmissionQueue(clock, 100, 1_000_000, () => 1);
  const startOrder: string[] = [];
  const first = await queue.admit(request({ deadline: Infinity }), neverAborted);
  const runRequest = async (name: string, priority: Priority, workspace: string): Promise<void> => {
    const admitted = await queue.admit(
      request({ priority, workspace, deadline: Infinity }),
      neverAborted,
    );
    startOrder.push(name);
    if (admitted.isOk) admitted.value.release();
  };
  const background = runRequest("background", Priority.Background, "drafts");
  const interactive = Array.from({ length: 12 }, (_, index) =>
    runRequest(`interactive ${index + 1}`, Priority.Interactive, "crews"),
  );
  if (first.isOk) first.value.release();
  await Promise.all([background, ...interactive]);
  t.equal(startOrder[0], "interactive 1");
  const backgroundIndex = startOrder.indexOf("background");
  t.ok(
    backgroundIndex > 3 && backgroundIndex < 12,
    `background ran as number ${backgroundIndex + 1}`,
  );
});

t.test("a workspace with more requests does not delay another workspace", async (t) => {
  const clock = new ManualClock();
  const queue = new AdmissionQueue(clock, 100, 1_000_000, () => 1);
  const startOrder: string[] = [];
  const first = await queue.admit(request({ deadline: Infinity }), neverAborted);
  const runRequest = async (workspace: string): Promise<void> => {
    const admitted = await queue.admit(request({ workspace, deadline: Infinity }), neverAborted);
    startOrder.push(workspace);
    if (admitted.isOk) admitted.value.release();
  };
  const all = [...Array.from({ length: 20 }, () => runRequest("large")), runRequest("small")];
  if (first.isOk) first.value.release();
  await Promise.all(all);
  t.ok(startOrder.indexOf("small") <= 2, `small ran as number ${startOrder.indexOf("small") + 1}`);
});
