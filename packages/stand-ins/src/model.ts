//! A deterministic test model. Each layer's output is a hash of the layer, the position,
//! its input and all its earlier inputs, in order. A step that is skipped, repeated,
//! reordered or mixed with another sequence therefore changes the answer.

/// The token that marks the end of an answer.
export const endOfSequenceToken = 0;

const vocabularySize = 1_000;

/// A layer's output for one position, and its cache after that position.
export interface LayerResult {
  readonly state: string;
  readonly cache: string;
}

/// Runs one layer for one position.
export function runLayer(
  layer: number,
  position: number,
  input: string,
  cache: string,
): LayerResult {
  return {
    state: hash(`${layer}|${position}|${input}|${cache}`),
    cache: hash(`${cache}|${input}`),
  };
}

/// Returns the next token, given the output of the last layer.
export function sample(state: string): number {
  return Number.parseInt(state.slice(0, 8), 16) % vocabularySize;
}

/// Returns the first layer's input for a token.
export function embed(token: number): string {
  return `t${token}`;
}

export function decodeToken(token: number): string {
  return `w${token} `;
}

/// Returns one token per word, never `endOfSequenceToken`. A word of an answer, as
/// `decodeToken` returns it, maps back to its token.
export function tokenize(text: string): number[] {
  const words = text.split(/\s+/).filter((word) => word !== "");
  return words.map((word) => {
    const tokenNumber = /^w([1-9][0-9]{0,2})$/.exec(word)?.[1];
    if (tokenNumber !== undefined) return Number(tokenNumber);
    return 1 + (Number.parseInt(hash(word).slice(0, 8), 16) % (vocabularySize - 1));
  });
}

/// Computes the expected answer to a prompt directly, without router and pipeline
/// stages. The result excludes `endOfSequenceToken`.
export function computeReferenceAnswer(
  prompt: string,
  layers: number,
  maximumTokens: number,
): number[] {
  const tokens = tokenize(prompt);
  const caches = Array.from({ length: layers }, () => "");
  const answer: number[] = [];
  for (let position = 0; answer.length < maximumTokens; position += 1) {
    let state = embed(tokens[position] ?? endOfSequenceToken);
    for (let layer = 0; layer < layers; layer += 1) {
      const result = runLayer(layer, position, state, caches[layer] ?? "");
      state = result.state;
      caches[layer] = result.cache;
    }
    if (position < tokens.length - 1) continue;
    const token = sample(state);
    if (token === endOfSequenceToken) break;
    answer.push(token);
    tokens.push(token);
  }
  return answer;
}

// Two 32-bit lanes based on FNV-1a. The hash need not be cryptographic, but it must be fast.
function hash(text: string): string {
  let left = 0x811c9dc5;
  let right = 0x2f0b4c47;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    left = Math.imul(left ^ code, 0x01000193);
    right = Math.imul(right ^ code, 0x01000193) ^ (right >>> 15);
  }
  return toHexadecimal(left) + toHexadecimal(right);
}

function toHexadecimal(value: number): string {
  return (value >>> 0).toString(16).padStart(8, "0");
}
