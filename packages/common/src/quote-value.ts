//! Quotes a value of any type in an error text. The result and the work are bounded, because
//! the value comes from outside the process.

const maximumQuotedCharacters = 80;
const maximumQuotedDepth = 4;

/// Returns `text` if it has at most `maximumCharacters`, and otherwise its beginning.
export function truncate(text: string, maximumCharacters = maximumQuotedCharacters): string {
  return text.length <= maximumCharacters ? text : `${text.slice(0, maximumCharacters)}…`;
}

/// Describes `value` like JSON, shortened in length and depth. Never throws.
export function quoteValue(value: unknown): string {
  if (value === undefined) return "nothing";
  try {
    return truncate(quote(value, maximumQuotedCharacters, maximumQuotedDepth));
  } catch {
    // A getter or a proxy may throw.
    return "an unreadable value";
  }
}

// Stops once the text has more than `room` characters.
function quote(value: unknown, room: number, depth: number): string {
  switch (typeof value) {
    case "string":
      return JSON.stringify(value.slice(0, room + 1));
    case "object":
      return value === null ? "null" : quoteMembers(value, room, depth);
    case "function":
      return "a function";
    case "bigint":
    case "boolean":
    case "number":
    case "symbol":
    case "undefined":
      return String(value);
  }
}

function quoteMembers(value: object, room: number, depth: number): string {
  const isArray = Array.isArray(value);
  const [opening, closing] = isArray ? ["[", "]"] : ["{", "}"];
  if (depth === 0) return `${opening}…${closing}`;
  let text = opening;
  for (const key in value) {
    if (!Object.hasOwn(value, key)) continue;
    if (text.length > room) return text;
    if (text !== opening) text += ",";
    if (!isArray) text += `${JSON.stringify(key.slice(0, room + 1))}:`;
    const member = (value as Record<string, unknown>)[key];
    text += quote(member, room - text.length, depth - 1);
  }
  return `${text}${closing}`;
}
