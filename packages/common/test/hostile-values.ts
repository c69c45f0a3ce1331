//! Values that code for plain JSON values may not expect.

/// More levels than the stack holds calls.
export const nesting = 100_000;

function createNested(): unknown {
  let value: unknown = 1;
  for (let depth = 0; depth < nesting; depth += 1) value = [value];
  return value;
}

/// Values by name. Most have no JSON form.
export function createHostileValues(): Record<string, unknown> {
  const cyclic: Record<string, unknown> = {};
  cyclic.itself = cyclic;

  return {
    nested: createNested(),
    cyclic,
    large: "x".repeat(10_000_000),
    wide: Array.from({ length: 1_000_000 }, () => 0),
    "large integer": 10n,
    "lone surrogate": "\ud800",
    symbol: Symbol("name"),
    "with toJSON": {
      toJSON: () => {
        throw new Error("toJSON must not be called");
      },
    },
    "throwing getter": {
      get field(): never {
        throw new Error("thrown by a getter");
      },
    },
    "without a prototype": Object.create(null) as unknown,
  };
}
