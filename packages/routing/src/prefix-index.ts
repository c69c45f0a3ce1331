//! Which targets probably hold which prompt prefixes, from cache events that come
//! late and with gaps.
import { createHash } from "node:crypto";

/// A target stored or evicted the prefix `key`. `sequence` counts the target's
/// events; a gap means that some were lost.
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly key: string;
}

interface TargetPrefixes {
  readonly keys: Set<string>;
  sequence: number;
}

/// Tokens of one block of a prompt.
export const blockTokens = 16;
const maximumBlocks = 64;
const maximumKeysPerTarget = 4_096;

/// The keys of the prefixes of `tokens`, one a block of 16 tokens, the shortest
/// first. Each key stands for all tokens up to its end.
export function prefixKeys(tokens: readonly number[]): string[] {
  const keys: string[] = [];
  let previous = "";
  for (
    let end = blockTokens;
    end <= tokens.length && keys.length < maximumBlocks;
    end += blockTokens
  ) {
    const block = tokens.slice(end - blockTokens, end);
    previous = createHash("sha1")
      .update(`${previous}:${block.join(",")}`)
      .digest("base64url")
      .slice(0, 16);
    keys.push(previous);
  }
  return keys;
}

/// What is known of the targets' prefix caches, in bounded memory. It is a hint:
/// a target may have evicted what stands here, so nothing but speed may rest on it.
export class PrefixIndex {
  private readonly targets = new Map<string, TargetPrefixes>();

  /// Takes in a target's events. After a gap, what was known of it is dropped,
  /// since evictions may be among the lost events.
  record(target: string, events: readonly CacheEvent[]): void {
    const known = this.getOrCreate(target);
    for (const event of events) {
      if (event.sequence <= known.sequence) continue;
      if (event.sequence > known.sequence + 1) known.keys.clear();
      known.sequence = event.sequence;
      known.keys.delete(event.key);
      if (event.kind === "stored") known.keys.add(event.key);
    }
    evictOldestKeys(known.keys);
  }

  /// The last event seen of `target`, 0 for none.
  sequence(target: string): number {
    return this.targets.get(target)?.sequence ?? 0;
  }

  forget(target: string): void {
    this.targets.delete(target);
  }

  /// How many leading tokens of the prompt with these keys `target` probably holds.
  cachedTokens(target: string, keys: readonly string[]): number {
    const held = this.targets.get(target)?.keys;
    if (held === undefined) return 0;
    const missing = keys.findIndex((key) => !held.has(key));
    return (missing === -1 ? keys.length : missing) * blockTokens;
  }

  private getOrCreate(target: string): TargetPrefixes {
    const known = this.targets.get(target) ?? { keys: new Set<string>(), sequence: 0 };
    this.targets.set(target, known);
    return known;
  }
}

function evictOldestKeys(keys: Set<string>): void {
  for (const key of keys) {
    if (keys.size <= maximumKeysPerTarget) return;
    keys.delete(key);
  }
}
