//! Renders benchmark results as text and as a self-contained HTML page.
import type { BenchResult } from "./bench-result.js";
import type { Slope } from "./slope.js";

const barWidth = 300;
const barHeight = 14;

export function formatResults(results: readonly BenchResult[]): string {
  return results
    .map(({ bench, ratio, baselineRatio, goal, met, figures }) => {
      const lines = Object.entries(figures).map(([name, value]) => `  ${name}: ${value}`);
      const summary = `${bench}: ratio ${ratio}, baseline ${baselineRatio}; ${goal}: ${met ? "met" : "not met"}`;
      return [summary, ...lines].join("\n");
    })
    .join("\n");
}

export function formatSlopes(slopes: readonly Slope[]): string {
  return slopes
    .map(({ name, unit, points, base, perUnit, residual }) => {
      const pointList = points.map(([size, value]) => `${size}: ${value}`).join(", ");
      return `${name} (${unit}): ${base} + ${perUnit} each; residual ${residual}; ${pointList}`;
    })
    .join("\n");
}

export function renderResultsHtml(results: readonly BenchResult[]): string {
  const rows = results.map(
    ({ bench, ratio, baselineRatio, goal, met }) =>
      `<tr><td>${bench}</td><td>${renderBar(ratio, "#2e7d32")}${renderBar(baselineRatio, "#9e9e9e")}</td>` +
      `<td>${ratio}</td><td>${baselineRatio}</td><td>${goal}</td><td>${met ? "met" : "not met"}</td></tr>`,
  );
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Benchmarks</title>
<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}svg{display:block}</style></head>
<body><h1>Benchmarks</h1><p>Green: the product; grey: the baseline. The bar's full width is 1.</p>
<table><tr><th>benchmark</th><th></th><th>ratio</th><th>baseline</th><th>goal</th><th></th></tr>
${rows.join("\n")}
</table></body></html>
`;
}

function renderBar(ratio: number, colour: string): string {
  const width = Math.round(Math.max(0, Math.min(1, ratio)) * barWidth);
  return `<svg width="${barWidth}" height="${barHeight}"><rect width="${width}" height="${barHeight}" fill="${colour}"/></svg>`;
}
