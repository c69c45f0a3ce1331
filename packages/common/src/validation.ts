//! Parses JSON input from outside the process and validates it against a schema
//! before other code uses it.
import { Result } from "true-myth";
import type { z } from "zod";
import { parseJsonText } from "./json-text.js";
import { quoteValue, truncate } from "./quote-value.js";

/// An error in a value: its path, the value found, and the value expected.
export interface ValidationIssue {
  readonly path: string;
  readonly found: string;
  readonly wanted: string;
}

const maximumIssues = 100;
const maximumDescribedCharacters = 16_384;

/// Parses and validates `text`. Returns the issues as `validate` does.
export function parseJson<T>(schema: z.ZodType<T>, text: string): Result<T, ValidationIssue[]> {
  return parseJsonText(text)
    .mapErr(() => [{ path: "/", found: truncate(text), wanted: "JSON" }])
    .andThen((value) => validate(schema, value));
}

/// Validates a parsed value. Returns all issues up to a bound, not only the first. Issues quote
/// the value in a bounded form, whatever it is.
export function validate<T>(schema: z.ZodType<T>, value: unknown): Result<T, ValidationIssue[]> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const issues = parsed.error.issues.slice(0, maximumIssues).map((issue) => ({
    path: truncate(`/${issue.path.map(String).join("/")}`),
    found: quoteValue(getValueAt(value, issue.path)),
    wanted: truncate(issue.message),
  }));
  return Result.err(issues);
}

/// Formats issues for people, one per line, up to a bounded length.
export function describeIssues(issues: readonly ValidationIssue[]): string {
  const lines = issues.map(
    (issue) => `${issue.path}: found ${issue.found}, wanted ${issue.wanted}`,
  );
  return truncate(lines.join("\n"), maximumDescribedCharacters);
}

function getValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((inner, key) => {
    if (typeof inner !== "object" || inner === null) return undefined;
    return (inner as Record<PropertyKey, unknown>)[key];
  }, value);
}
