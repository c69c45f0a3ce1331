//! What differs between two subtrees, path by path.

export interface Difference {
  readonly path: string;
  readonly from: string;
  readonly to: string;
}

/// The differences below `path`, in the order of the paths. A value that is missing
/// on one side stands as `nothing`.
export function differences(path: string, from: unknown, to: unknown): Difference[] {
  if (isRecord(from) && isRecord(to)) {
    const names = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort();
    return names.flatMap((name) => differences(`${path}/${name}`, from[name], to[name]));
  }
  const [left, right] = [show(from), show(to)];
  return left === right ? [] : [{ path, from: left, to: right }];
}

function show(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
