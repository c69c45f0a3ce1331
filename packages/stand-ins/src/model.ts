//! The stand-in model. Each layer is an order-sensitive function of the layer, the
//! position, the state it is given and all it was given before, so that a skipped,
//! repeated, swapped or crossed step changes the answer.

/// The token that ends an answer.
export const endToken = 0;

const vocabulary = 1_000;

/// A layer's output for one position, and its cache afterwards.
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
    state: digest(`${layer}|${position}|${input}|${cache}`),
    cache: digest(`${cache}|${input}`),
  };
}

/// The next token, from the last layer's state.
export function sample(state: string): number {
  return Number.parseInt(state.slice(0, 8), 16) % vocabulary;
}

/// The state with which a token enters the first layer.
export function embed(token: number): string {
  return `t${token}`;
}

export function wordOf(token: number): string {
  return `w${token} `;
}

/// One token a word; never the end token. The words of answers keep their number.
export function tokenize(text: string): number[] {
  const words = text.split(/\s+/).filter((word) => word !== "");
  return words.map((word) => {
    const own = /^w([1-9][0-9]{0,2})$/.exec(word)?.[1];
    if (own !== undefined) return Number(own);
    return 1 + (Number.parseInt(digest(word).slice(0, 8), 16) % (vocabulary - 1));
  });
}

/// The right answer to a prompt, computed without router and stages.
export function referenceAnswer(prompt: string, layers: number, mostTokens: number): number[] {
  const tokens = tokenize(prompt);
  const caches = Array.from({ length: layers }, () => "");
  const answer: number[] = [];
  for (let position = 0; answer.length < mostTokens; position += 1) {
    let state = embed(tokens[position] ?? endToken);
    for (let layer = 0; layer < layers; layer += 1) {
      const result = runLayer(layer, position, state, caches[layer] ?? "");
      state = result.state;
      caches[layer] = result.cache;
    }
    if (position < tokens.length - 1) continue;
    const token = sample(state);
    if (token === endToken) break;
    answer.push(token);
    tokens.push(token);
  }
  return answer;
}

// Two FNV-1a lanes; speed matters here, not secrecy.
function digest(text: string): string {
  let left = 0x811c9dc5;
  let right = 0x2f0b4c47;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    left = Math.imul(left ^ code, 0x01000193);
    right = Math.imul(right ^ code, 0x01000193) ^ (right >>> 15);
  }
  return hexadecimal(left) + hexadecimal(right);
}

function hexadecimal(value: number): string {
  return (value >>> 0).toString(16).padStart(8, "0");
}
