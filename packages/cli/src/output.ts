//! The output of commands: results, and messages for people.

/// `print` writes lines of the result. `reportProgress` and `reportError` write messages for
/// people to another stream, so that the result can be parsed.
export interface Output {
  print(text: string): void;
  reportProgress(text: string): void;
  reportError(text: string): void;
}

export function formatJson(value: unknown): string {
  return JSON.stringify(value, undefined, 2);
}
