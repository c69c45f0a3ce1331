//! A prefix cache with a maximum number of keys, which evicts the least recently used.
//! Readers poll its events and receive them late. Only the most recent events are kept,
//! so a slow reader finds gaps in their sequence numbers.
interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly key: string;
}

const tokensPerBlock = 16;

export class PrefixCache {
  private readonly keys = new Set<string>();
  private events: CacheEvent[] = [];
  private lastSequence = 0;

  constructor(
    private readonly maximumKeys: number,
    private readonly maximumEvents: number,
  ) {}

  countCachedTokens(prefix: readonly string[]): number {
    const firstMissing = prefix.findIndex((key) => !this.keys.has(key));
    return (firstMissing === -1 ? prefix.length : firstMissing) * tokensPerBlock;
  }

  store(prefix: readonly string[]): void {
    for (const key of prefix) {
      const wasCached = this.keys.delete(key);
      this.keys.add(key);
      if (!wasCached) this.publish("stored", key);
    }
    for (const key of this.keys) {
      if (this.keys.size <= this.maximumKeys) return;
      this.keys.delete(key);
      this.publish("evicted", key);
    }
  }

  getEventsAfter(sequence: number): CacheEvent[] {
    return this.events.filter((event) => event.sequence > sequence);
  }

  private publish(kind: CacheEvent["kind"], key: string): void {
    this.lastSequence += 1;
    this.events.push({ sequence: this.lastSequence, kind, key });
    this.events = this.events.slice(-this.maximumEvents);
  }
}
