//! The service-level burn report: the rate at which each objective's error budget is consumed
//! over several windows, computed from mergeable counts and histograms.
export { BurnCounts, type BurnSnapshot, type RequestOutcome } from "./burn-counts.js";
export { buildBurnReport, type BurnLine, type BurnReport } from "./burn-report.js";
export { burnReportHtml, burnReportText } from "./render.js";
