//! Paths such as `/advisory/workspaces/workshop-7/weight`. The first part is the
//! team; the rest leads into the team's subtree.
import { Result } from "true-myth";

/// Splits a path. An empty part or a missing team is an error.
export function splitPath(path: string): Result<{ team: string; inner: string[] }, string> {
  const [root, team, ...inner] = path.replace(/\/$/, "").split("/");
  if (root !== "" || team === undefined || team === "" || inner.includes("")) {
    return Result.err(`${path} is not a path such as /team/section/name`);
  }
  return Result.ok({ team, inner });
}

/// The value at `inner`, or `undefined`.
export function getAtPath(document: unknown, inner: readonly string[]): unknown {
  return inner.reduce<unknown>((value, part) => childOf(value, part), document);
}

/// A copy of `document` with `value` at `inner`; `undefined` removes it.
export function setAtPath(document: unknown, inner: readonly string[], value: unknown): unknown {
  const [part, ...rest] = inner;
  if (part === undefined) return value;
  const copy = Object.fromEntries(Object.entries(isRecord(document) ? document : {}));
  const child = setAtPath(childOf(document, part), rest, value);
  const others = Object.entries(copy).filter(([key]) => key !== part);
  return Object.fromEntries(child === undefined ? others : [...others, [part, child]]);
}

function childOf(value: unknown, part: string): unknown {
  return isRecord(value) && Object.hasOwn(value, part) ? value[part] : undefined;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
