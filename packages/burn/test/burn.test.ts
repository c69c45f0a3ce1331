//! The burn report merges what entry VMs counted.
import t from "tap";
import { BurnCounts, buildBurnReport, burnReportHtml, burnReportText } from "../src/index.js";

const minute = 60_000;
const now = 10_000 * minute;

function counted(good: number, bad: number, at: number): BurnCounts {
  const counts = new BurnCounts();
  const outcome = { workspace: "workshop", objective: "first-token" };
  for (let count = 0; count < good; count += 1) {
    counts.record({ ...outcome, good: true, firstTokenMilliseconds: 100 + count }, at);
  }
  for (let count = 0; count < bad; count += 1) {
    counts.record({ ...outcome, good: false, firstTokenMilliseconds: undefined }, at);
  }
  return counts;
}

t.test("the report of two entry VMs, one counting an hour ago", (t) => {
  const merged = new BurnCounts();
  merged.merge(counted(90, 10, now).snapshot());
  merged.merge(JSON.parse(JSON.stringify(counted(100, 0, now - 70 * minute).snapshot())) as never);
  const report = buildBurnReport(merged.snapshot(), new Map([["first-token", 0.95]]), now);
  t.matchSnapshot(burnReportText(report), "text");
  t.matchSnapshot(burnReportHtml(report), "page");
  t.end();
});

t.test("names from settings cannot break the page", (t) => {
  const counts = new BurnCounts();
  counts.record(
    { workspace: "<script>", objective: "o", good: true, firstTokenMilliseconds: 1 },
    now,
  );
  const page = burnReportHtml(buildBurnReport(counts.snapshot(), new Map(), now));
  t.notMatch(page, "<script>");
  t.end();
});
