//! Parses and writes JSON that crosses the boundary of the process, with a bound on its nesting.
//! The parser itself takes any depth, but code that walks the value would overflow the stack.
import { Result } from "true-myth";

const maximumNesting = 64;
const quote = 0x22;
const backslash = 0x5c;
const openingBracket = 0x5b;
const openingBrace = 0x7b;
const closingBracket = 0x5d;
const closingBrace = 0x7d;

/// Parses `text`. Returns the reason if it is not JSON or is nested deeper than any message
/// between parts of a deployment. Never throws.
export function parseJsonText(text: string): Result<unknown, string> {
  if (isNestedTooDeep(text)) return Result.err(`it is nested deeper than ${maximumNesting} levels`);
  try {
    return Result.ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Result.err(String(error));
  }
}

/// Writes `value` as JSON. Returns the reason if that is not possible. Never throws.
export function writeJsonText(value: unknown): Result<string, string> {
  try {
    // Without a JSON form, as for a function, the result is `undefined`.
    const text = JSON.stringify(value) as string | undefined;
    return text === undefined ? Result.err("it has no JSON form") : Result.ok(text);
  } catch (error) {
    return Result.err(String(error));
  }
}

function isNestedTooDeep(text: string): boolean {
  let depth = 0;
  for (let index = 0; index < text.length; index += 1) {
    switch (text.charCodeAt(index)) {
      case quote:
        index = findClosingQuote(text, index);
        break;
      case openingBracket:
      case openingBrace:
        depth += 1;
        if (depth > maximumNesting) return true;
        break;
      case closingBracket:
      case closingBrace:
        depth -= 1;
    }
  }
  return false;
}

// Returns the end of the text if the quote is never closed; the parser then rejects it.
function findClosingQuote(text: string, opening: number): number {
  let closing = opening;
  do {
    closing = text.indexOf('"', closing + 1);
    if (closing === -1) return text.length;
  } while (isEscaped(text, closing));
  return closing;
}

function isEscaped(text: string, index: number): boolean {
  let backslashes = 0;
  while (text.charCodeAt(index - 1 - backslashes) === backslash) backslashes += 1;
  return backslashes % 2 === 1;
}
