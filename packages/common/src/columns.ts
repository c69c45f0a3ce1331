//! Formats tables of strings as plain text with aligned columns, for command-line
//! output and reports.

/// Formats a header line and one line per row, with columns padded to equal width.
export function alignColumns(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]): string =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join("  ")
      .trimEnd();
  return [header, ...rows].map(formatRow).join("\n");
}
