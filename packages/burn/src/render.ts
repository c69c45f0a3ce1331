//! Renders the burn report as text and as a self-contained HTML page.
import { alignColumns } from "@lovagebend/common";
import type { BurnLine, BurnReport } from "./burn-report.js";

const barWidthPixels = 300;
const barHeightPixels = 16;
const maximumBarBurn = 10;

/// Renders the report as a text table, followed by the first-token percentiles.
export function burnReportText(report: BurnReport): string {
  const header = ["workspace", "objective", "window", "good", "bad", "burn"];
  const rows = report.lines.map((line) => [
    line.workspace,
    line.objective,
    `${line.windowMinutes} min`,
    String(line.good),
    String(line.bad),
    line.burn.toFixed(2),
  ]);
  const percentileLines = Object.entries(report.percentiles).map(
    ([objective, { p50, p95, p99 }]) =>
      `${objective}: first token p50 ${p50} ms, p95 ${p95} ms, p99 ${p99} ms`,
  );
  return [`Burn as of ${report.asOf}`, alignColumns(header, rows), ...percentileLines, ""].join(
    "\n",
  );
}

/// Renders the report as an HTML page with a bar for each burn rate.
export function burnReportHtml(report: BurnReport): string {
  const rows = report.lines.map(htmlRow).join("\n");
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}</style></head>
<body><h1>Service-level burn</h1><p>As of ${escapeHtml(report.asOf)}. A burn above 1 spends the
budget too fast.</p><table><tr><th>workspace</th><th>objective</th><th>window</th><th>good</th>
<th>bad</th><th>burn</th><th></th></tr>
${rows}
</table></body></html>
`;
}

function htmlRow(line: BurnLine): string {
  const widthPixels = Math.round(
    (Math.min(line.burn, maximumBarBurn) / maximumBarBurn) * barWidthPixels,
  );
  const colour = line.burn > 1 ? "#b3261e" : "#2e7d32";
  const bar = `<svg width="${barWidthPixels}" height="${barHeightPixels}"><rect width="${widthPixels}" height="${barHeightPixels}" fill="${colour}"/></svg>`;
  const cells = [
    escapeHtml(line.workspace),
    escapeHtml(line.objective),
    `${line.windowMinutes} min`,
    line.good,
    line.bad,
    line.burn.toFixed(2),
    bar,
  ];
  return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join("")}</tr>`;
}

function escapeHtml(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;").replace(/>/g, "&gt;");
}
