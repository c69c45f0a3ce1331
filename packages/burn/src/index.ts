//! The service-level burn report: how fast each objective's error budget is spent,
//! over several windows, from counts and histograms that merge.
export { BurnCounts, type BurnSnapshot, type Outcome } from "./burn-counts.js";
export { buildBurnReport, type BurnLine, type BurnReport } from "./burn-report.js";
export { burnReportHtml, burnReportText } from "./render.js";
