//! Where commands print.

/// `print` takes lines of the result; `progress` and `problem` are for people and
/// stay apart from the result.
export interface Output {
  print(text: string): void;
  progress(text: string): void;
  problem(text: string): void;
}

/// Aligned columns under a head.
export function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
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

export function jsonText(value: unknown): string {
  return JSON.stringify(value, undefined, 2);
}
