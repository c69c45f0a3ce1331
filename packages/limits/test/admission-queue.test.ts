//! Queues are bounded, seen and short.
import { ErrorKind, RunState, type Clock } from "@lovagebend/common";
import t from "tap";
import { AdmissionQueue, Priority, type AdmissionRequest } from "../src/index.js";

class StepClock implements Clock {
  now = 0;
  private sleepers: { at: number; resolve: () => void }[] = [];

  monotonic(): number {
    return this.now;
  }

  wall(): number {
    return this.now;
  }

  sleep(duration: number): Promise<void> {
    return new Promise((resolve) => {
      this.sleepers.push({ at: this.now + duration, resolve });
    });
  }

  async advance(duration: number): Promise<void> {
    this.now += duration;
    const due = this.sleepers.filter(({ at }) => at <= this.now);
    this.sleepers = this.sleepers.filter(({ at }) => at > this.now);
    for (const { resolve } of due) resolve();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const never = new AbortController().signal;

function request(change: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return { workspace: "w", priority: Priority.Interactive, cost: 100, deadline: 60_000, ...change };
}

t.test("work beyond the capacity waits and starts when a place is free", async (t) => {
  const clock = new StepClock();
  const queue = new AdmissionQueue(clock, 100, 2_000, () => 1);
  const first = await queue.admit(request(), never);
  const second = queue.admit(request(), never);
  t.same(queue.status, { length: 1, age: 0, running: 1 });
  await clock.advance(300);
  t.equal(queue.status.age, 300);
  if (first.isOk) first.value.release();
  const admitted = await second;
  t.equal(admitted.isOk && admitted.value.waited, 300);
});

t.test("a request that waited the longest wait is refused as not run, with a hint", async (t) => {
  const clock = new StepClock();
  const queue = new AdmissionQueue(clock, 100, 2_000, () => 1);
  await queue.admit(request(), never);
  const waiting = queue.admit(request(), never);
  await clock.advance(2_000);
  const refused = await waiting;
  t.match(refused.isErr && refused.error, {
    kind: ErrorKind.QueueFull,
    run: RunState.NotRun,
    retryAfterSeconds: 2,
  });
  t.equal(queue.status.length, 0);
});

t.test("a request that could not meet its deadline is refused at once", async (t) => {
  const clock = new StepClock();
  const queue = new AdmissionQueue(clock, 100, 10_000, () => 1);
  for (let round = 0; round < 5; round += 1) {
    const admitted = await queue.admit(request(), never);
    await clock.advance(1_000);
    if (admitted.isOk) admitted.value.release();
  }
  await queue.admit(request(), never);
  const refused = await queue.admit(request({ deadline: clock.now + 50 }), never);
  t.equal(refused.isErr && refused.error.kind, ErrorKind.DeadlineUnreachable);
});

t.test("a caller that leaves while waiting frees its place", async (t) => {
  const clock = new StepClock();
  const queue = new AdmissionQueue(clock, 100, 2_000, () => 1);
  await queue.admit(request(), never);
  const controller = new AbortController();
  const waiting = queue.admit(request(), controller.signal);
  controller.abort();
  const refused = await waiting;
  t.equal(refused.isErr && refused.error.kind, ErrorKind.CallerGone);
  t.equal(queue.status.length, 0);
});

t.test("interactive work goes before background work, which is not starved", async (t) => {
  const clock = new StepClock();
  const queue = new AdmissionQueue(clock, 100, 1_000_000, () => 1);
  const order: string[] = [];
  const first = await queue.admit(request({ deadline: Infinity }), never);
  const run = async (name: string, priority: Priority, workspace: string): Promise<void> => {
    const admitted = await queue.admit(request({ priority, workspace, deadline: Infinity }), never);
    order.push(name);
    if (admitted.isOk) admitted.value.release();
  };
  const background = run("background", Priority.Background, "drafts");
  const interactive = Array.from({ length: 12 }, (_, index) =>
    run(`interactive ${index + 1}`, Priority.Interactive, "crews"),
  );
  if (first.isOk) first.value.release();
  await Promise.all([background, ...interactive]);
  t.equal(order[0], "interactive 1");
  const place = order.indexOf("background");
  t.ok(place > 3 && place < 12, `background ran as number ${place + 1}`);
});

t.test("a workspace that asks for more does not push out another", async (t) => {
  const clock = new StepClock();
  const queue = new AdmissionQueue(clock, 100, 1_000_000, () => 1);
  const order: string[] = [];
  const first = await queue.admit(request({ deadline: Infinity }), never);
  const run = async (workspace: string): Promise<void> => {
    const admitted = await queue.admit(request({ workspace, deadline: Infinity }), never);
    order.push(workspace);
    if (admitted.isOk) admitted.value.release();
  };
  const all = [...Array.from({ length: 20 }, () => run("large")), run("small")];
  if (first.isOk) first.value.release();
  await Promise.all(all);
  t.ok(order.indexOf("small") <= 2, `small ran as number ${order.indexOf("small") + 1}`);
});
