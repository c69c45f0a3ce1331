//! An index of the prompt prefixes that targets probably have cached. It is built from
//! the targets' cache events, which arrive late and may be lost.
import { createHash } from "node:crypto";

/// The storage or eviction of the prefix `key` on a target. `sequence` numbers the events
/// of a target without gaps; a gap means that events were lost.
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly key: string;
}

interface TargetPrefixes {
  readonly keys: Set<string>;
  sequence: number;
}

/// The number of prompt tokens in a block, the unit of prefix keys.
export const tokensPerBlock = 16;
const maximumBlocks = 64;
const maximumKeysPerTarget = 4_096;

/// Returns the keys of the prefixes of `tokens`, one for each block of 16 tokens, the
/// shortest prefix first. Each key identifies all tokens up to the end of its block.
export function computePrefixKeys(tokens: readonly number[]): string[] {
  const keys: string[] = [];
  let previous = "";
  for (
    let end = tokensPerBlock;
    end <= tokens.length && keys.length < maximumBlocks;
    end += tokensPerBlock
  ) {
    const block = tokens.slice(end - tokensPerBlock, end);
    previous = createHash("sha1")
      .update(`${previous}:${block.join(",")}`)
      .digest("base64url")
      .slice(0, 16);
    keys.push(previous);
  }
  return keys;
}

/// Tracks the targets' prefix caches in bounded memory. The content is a hint: a target
/// may have evicted a listed prefix, so callers may use it only to improve speed, never
/// for correctness.
export class PrefixIndex {
  private readonly targets = new Map<string, TargetPrefixes>();

  /// Applies a target's events and ignores those already applied. After a gap the target's
  /// entries are cleared, because the lost events may include evictions.
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

  /// Returns the sequence number of the last event applied for `target`, 0 if none.
  getLastSequence(target: string): number {
    return this.targets.get(target)?.sequence ?? 0;
  }

  remove(target: string): void {
    this.targets.delete(target);
  }

  /// Returns how many leading tokens of the prompt with these `keys` are probably cached
  /// on `target`.
  cachedTokens(target: string, keys: readonly string[]): number {
    const held = this.targets.get(target)?.keys;
    if (held === undefined) return 0;
    const missing = keys.findIndex((key) => !held.has(key));
    return (missing === -1 ? keys.length : missing) * tokensPerBlock;
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
