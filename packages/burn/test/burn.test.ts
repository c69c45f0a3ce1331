//! Merging of counts from entry VMs, and rendering of the burn report.
import t from "tap";
import { BurnCounts, buildBurnReport, burnReportHtml, burnReportText } from "../src/index.js";

const minute = 60_000;
const now = 10_000 * minute;

function createCounts(good: number, bad: number, at: number): BurnCounts {
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

t.test(
  "the report merges two entry VMs and counts each outcome in the windows that contain it",
  (t) => {
    const merged = new BurnCounts();
    merged.merge(createCounts(90, 10, now).snapshot());
    merged.merge(
      JSON.parse(JSON.stringify(createCounts(100, 0, now - 70 * minute).snapshot())) as never,
    );
    const report = buildBurnReport(merged.snapshot(), new Map([["first-token", 0.95]]), now);
    t.matchSnapshot(burnReportText(report), "text");
    t.matchSnapshot(burnReportHtml(report), "page");
    t.end();
  },
);

t.test("names from settings are escaped in the HTML page", (t) => {
  const counts = new BurnCounts();
  counts.record(
    { workspace: "<script>", objective: "o", good: true, firstTokenMilliseconds: 1 },
    now,
  );
  const page = burnReportHtml(buildBurnReport(counts.snapshot(), new Map(), now));
  t.notMatch(page, "<script>");
  t.end();
});
