//! Where a prompt's prefix is at home: a replica that all entry VMs agree on without
//! telling each other, so that equal prompts meet the same cache.
import { rendezvousOrder, type Milliseconds } from "@lovagebend/common";
import type { TargetView } from "@lovagebend/membership";

/// The home of the prefix `key` in each layer range: one target a range.
export function prefixHomes(key: string, targets: readonly TargetView[]): ReadonlySet<string> {
  const ranges = new Map<string, string[]>();
  for (const { name, firstLayer, endLayer } of targets) {
    const range = `${firstLayer}-${endLayer}`;
    ranges.set(range, [...(ranges.get(range) ?? []), name]);
  }
  const homes = [...ranges.values()].map((names) => rendezvousOrder(key, names)[0] ?? "");
  return new Set(homes);
}

const millisecondsPerSecond = 1_000;
// A missed prefix keeps the target's other answers waiting as well as its own caller.
const missCostFactor = 2;

/// What finding `cachedTokens` of a prompt in a target's cache is worth for each token of
/// an answer of `answerTokens`: a negative penalty for `choosePath`.
export function prefixCredit(
  cachedTokens: number,
  target: Pick<TargetView, "tokensPerSecond">,
  answerTokens: number,
): Milliseconds {
  const saved = (cachedTokens * millisecondsPerSecond) / target.tokensPerSecond;
  return (-saved * missCostFactor) / answerTokens;
}
