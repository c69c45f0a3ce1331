//! Where commands print.

/// `print` takes lines of the result; `progress` and `problem` are for people and
/// stay apart from the result.
export interface Output {
  print(text: string): void;
  progress(text: string): void;
  problem(text: string): void;
}

export function jsonText(value: unknown): string {
  return JSON.stringify(value, undefined, 2);
}
