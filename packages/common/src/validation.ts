//! Checked reading of JSON: what comes from outside is parsed and validated
//! against a schema before any other code sees it.
import { Result } from "true-myth";
import type { z } from "zod";

/// One fault in a value: where it stands, what stands there, what is wanted.
export interface ValidationIssue {
  readonly path: string;
  readonly found: string;
  readonly wanted: string;
}

const longestQuote = 80;

/// Parses and validates `text`. All faults are returned at once.
export function parseJson<T>(schema: z.ZodType<T>, text: string): Result<T, ValidationIssue[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Result.err([{ path: "/", found: quote(text), wanted: "JSON" }]);
  }
  return validate(schema, value);
}

/// Validates a value that has already been parsed.
export function validate<T>(schema: z.ZodType<T>, value: unknown): Result<T, ValidationIssue[]> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const issues = parsed.error.issues.map((issue) => ({
    path: `/${issue.path.map(String).join("/")}`,
    found: show(at(value, issue.path)),
    wanted: issue.message,
  }));
  return Result.err(issues);
}

/// One line per fault, for people.
export function describeIssues(issues: readonly ValidationIssue[]): string {
  return issues
    .map((issue) => `${issue.path}: found ${issue.found}, wanted ${issue.wanted}`)
    .join("\n");
}

function at(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((inner, key) => {
    if (typeof inner !== "object" || inner === null) return undefined;
    return (inner as Record<PropertyKey, unknown>)[key];
  }, value);
}

function show(value: unknown): string {
  return value === undefined ? "nothing" : quote(JSON.stringify(value));
}

function quote(text: string): string {
  return text.length <= longestQuote ? text : `${text.slice(0, longestQuote)}…`;
}
