//! Settings paths such as `/advisory/workspaces/workshop-7/weight`. The first segment names
//! the team; the other segments address a value in the team's subtree.
import { Result } from "true-myth";

/// Splits a path into the team and the segments in its subtree. An empty segment or a missing
/// team is an error.
export function splitPath(path: string): Result<{ team: string; segments: string[] }, string> {
  const [root, team, ...segments] = path.replace(/\/$/, "").split("/");
  if (root !== "" || team === undefined || team === "" || segments.includes("")) {
    return Result.err(`${path} is not a valid settings path, expected /team/section/name`);
  }
  return Result.ok({ team, segments });
}

/// The value at `segments`, or `undefined` if there is none.
export function getAtPath(document: unknown, segments: readonly string[]): unknown {
  return segments.reduce<unknown>((value, segment) => childAt(value, segment), document);
}

/// A copy of `document` with `value` at `segments`; `undefined` removes the value there.
export function setAtPath(document: unknown, segments: readonly string[], value: unknown): unknown {
  const [segment, ...rest] = segments;
  if (segment === undefined) return value;
  const copy = Object.fromEntries(Object.entries(isRecord(document) ? document : {}));
  const child = setAtPath(childAt(document, segment), rest, value);
  const others = Object.entries(copy).filter(([key]) => key !== segment);
  return Object.fromEntries(child === undefined ? others : [...others, [segment, child]]);
}

function childAt(value: unknown, segment: string): unknown {
  return isRecord(value) && Object.hasOwn(value, segment) ? value[segment] : undefined;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
