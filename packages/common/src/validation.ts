//! Parses JSON input from outside the process and validates it against a schema
//! before other code uses it.
import { Result } from "true-myth";
import type { z } from "zod";

/// An error in a value: its path, the value found, and the value expected.
export interface ValidationIssue {
  readonly path: string;
  readonly found: string;
  readonly wanted: string;
}

const maximumQuotedCharacters = 80;

/// Parses and validates `text`. Returns all issues, not only the first.
export function parseJson<T>(schema: z.ZodType<T>, text: string): Result<T, ValidationIssue[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Result.err([{ path: "/", found: truncate(text), wanted: "JSON" }]);
  }
  return validate(schema, value);
}

/// Validates a parsed value. Returns all issues, not only the first.
export function validate<T>(schema: z.ZodType<T>, value: unknown): Result<T, ValidationIssue[]> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const issues = parsed.error.issues.map((issue) => ({
    path: `/${issue.path.map(String).join("/")}`,
    found: formatValue(getValueAt(value, issue.path)),
    wanted: issue.message,
  }));
  return Result.err(issues);
}

/// Formats issues for people, one per line.
export function describeIssues(issues: readonly ValidationIssue[]): string {
  return issues
    .map((issue) => `${issue.path}: found ${issue.found}, wanted ${issue.wanted}`)
    .join("\n");
}

function getValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((inner, key) => {
    if (typeof inner !== "object" || inner === null) return undefined;
    return (inner as Record<PropertyKey, unknown>)[key];
  }, value);
}

function formatValue(value: unknown): string {
  return value === undefined ? "nothing" : truncate(JSON.stringify(value));
}

function truncate(text: string): string {
  return text.length <= maximumQuotedCharacters
    ? text
    : `${text.slice(0, maximumQuotedCharacters)}…`;
}
