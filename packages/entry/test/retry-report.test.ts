//! What the metrics and the log say about retries.
import { RetryPurpose, type RetryDecision } from "@lovagebend/limits";
import t from "tap";
import { EntryMetrics } from "../src/metrics.js";
import { RetryReport } from "../src/retry-report.js";
import { VirtualClock } from "./virtual-clock.js";

const denied: RetryDecision = {
  service: "model",
  purpose: RetryPurpose.Resume,
  isGranted: false,
  spent: 8,
  allowance: 8.4,
};

t.test("retries are counted by service, purpose and decision", async (t) => {
  const metrics = new EntryMetrics();
  const ignore = (): void => undefined;
  const report = new RetryReport(metrics, new VirtualClock(), {
    info: ignore,
    warn: ignore,
    error: ignore,
  });
  report.record(denied);
  report.record(denied);
  report.record({ ...denied, purpose: RetryPurpose.Start, isGranted: true });
  const text = await metrics.registry.metrics();
  t.match(text, 'lovagebend_retries_total{service="model",purpose="resume",decision="denied"} 2');
  t.match(text, 'lovagebend_retries_total{service="model",purpose="first",decision="granted"} 1');
});

t.test("denied retries are one line a second for each purpose, with their number", async (t) => {
  const clock = new VirtualClock();
  const lines: unknown[] = [];
  const report = new RetryReport({ recordRetry: () => undefined }, clock, {
    info: () => undefined,
    warn: (event, fields) => lines.push([event, fields?.purpose, fields?.denied]),
    error: () => undefined,
  });
  for (let index = 0; index < 30; index += 1) {
    await clock.advanceTo(index * 50);
    report.record(denied);
    report.record({ ...denied, purpose: RetryPurpose.Start, isGranted: index % 2 === 0 });
  }
  t.same(lines, [
    ["retries denied", "resume", 1],
    ["retries denied", "first", 1],
    ["retries denied", "resume", 20],
    ["retries denied", "first", 10],
  ]);
});
