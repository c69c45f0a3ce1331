//! Tests of the metrics of an entry VM.
import t from "tap";
import { EntryMetrics } from "../src/metrics.js";

// Guards against LOST that is not counted: a request ends without an answer.
t.test("requests without an answer are counted by progress and by who closed", async (t) => {
  const metrics = new EntryMetrics();
  metrics.recordUnansweredRequest("offered", "callerClose");
  metrics.recordUnansweredRequest("offered", "callerClose");
  t.match(
    await metrics.registry.metrics(),
    'lovagebend_requests_unanswered_total{stage="offered",closed_by="callerClose"} 2',
  );
});
