//! Compares two subtrees of the settings and lists the paths whose values differ.

export interface Difference {
  readonly path: string;
  readonly from: string;
  readonly to: string;
}

/// Returns the differences below `path`, sorted by path, with values as JSON texts. A value
/// that is missing on one side is shown as `nothing`.
export function findDifferences(path: string, from: unknown, to: unknown): Difference[] {
  if (isRecord(from) && isRecord(to)) {
    const names = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort();
    return names.flatMap((name) => findDifferences(`${path}/${name}`, from[name], to[name]));
  }
  const [fromText, toText] = [formatValue(from), formatValue(to)];
  return fromText === toText ? [] : [{ path, from: fromText, to: toText }];
}

function formatValue(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
