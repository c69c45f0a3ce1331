//! Tables as text.

/// Aligned columns under a head, one line a row.
export function alignColumns(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (row: readonly string[]): string =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join("  ")
      .trimEnd();
  return [head, ...rows].map(line).join("\n");
}
