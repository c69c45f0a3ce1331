//! Prefix-cache affinity: assigns each prompt prefix to a home replica by rendezvous
//! hashing, so that all entry VMs route equal prompts to the same cache without
//! coordination.
import { rankByRendezvousHash, type Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";

/// Returns the names of the home targets of the prefix `key`, one for each layer range.
export function choosePrefixHomes(
  key: string,
  targets: readonly TargetView[],
): ReadonlySet<string> {
  const ranges = new Map<string, string[]>();
  for (const { name, firstLayer, endLayer } of targets) {
    const range = `${firstLayer}-${endLayer}`;
    ranges.set(range, [...(ranges.get(range) ?? []), name]);
  }
  const homes = [...ranges.values()].map((names) => rankByRendezvousHash(key, names)[0] ?? "");
  return new Set(homes);
}

const millisecondsPerSecond = 1_000;
// A cache miss delays its own caller and also the other answers on the target.
const missCostFactor = 2;

/// Returns the saving from `cachedTokens` prompt tokens in a target's cache, spread over
/// the tokens of an answer of `answerTokens`. The result is a negative penalty for
/// `choosePath`, in milliseconds per token.
export function computePrefixCredit(
  cachedTokens: number,
  target: Pick<TargetView, "tokensPerSecond">,
  answerTokens: number,
): Milliseconds {
  const saved = (cachedTokens * millisecondsPerSecond) / target.tokensPerSecond;
  return (-saved * missCostFactor) / answerTokens;
}
