//! The phases of a graceful stop, on a clock of its own.
import type { Clock, Logger } from "@lovagebend/common";
import t from "tap";
import { GracefulStop } from "../src/graceful-stop.js";

const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function createClock(): Clock {
  let now = 0;
  return {
    monotonicTime: () => now,
    wallClockTime: () => now,
    sleep: (duration) => {
      now += duration;
      return Promise.resolve();
    },
  };
}

// Guards against LOST: a request that arrived after the end of a stop, while the rest of the entry
// VM was still being closed, was passed on and cut.
t.test("no request is accepted after the requests in progress have ended", async (t) => {
  const clock = createClock();
  const limits = { shutdownTimeout: 8_000, drainDelay: 300 };
  const gracefulStop = new GracefulStop(limits, clock, silentLogger);
  const refusals: boolean[] = [];
  await gracefulStop.run({
    inProgress: 0,
    endedRequests: 0,
    endRequests: () => refusals.push(gracefulStop.shouldRefuse(clock.monotonicTime() + 1)),
    closeIdleConnections: () => Promise.resolve(),
  });
  refusals.push(gracefulStop.shouldRefuse(clock.monotonicTime() + 1));
  t.ok(clock.monotonicTime() < limits.shutdownTimeout / 2, "the stop ended early");
  t.same(refusals, [true, true]);
});
