//! A prefix cache in bounded memory that publishes its events late and, since it
//! keeps only the last few, with gaps.
interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly key: string;
}

const blockTokens = 16;

export class PrefixCache {
  private readonly keys = new Set<string>();
  private events: CacheEvent[] = [];
  private sequence = 0;

  constructor(
    private readonly mostKeys: number,
    private readonly keptEvents: number,
  ) {}

  cachedTokens(prefix: readonly string[]): number {
    const missing = prefix.findIndex((key) => !this.keys.has(key));
    return (missing === -1 ? prefix.length : missing) * blockTokens;
  }

  store(prefix: readonly string[]): void {
    for (const key of prefix) {
      const known = this.keys.delete(key);
      this.keys.add(key);
      if (!known) this.publish("stored", key);
    }
    for (const key of this.keys) {
      if (this.keys.size <= this.mostKeys) return;
      this.keys.delete(key);
      this.publish("evicted", key);
    }
  }

  eventsAfter(sequence: number): CacheEvent[] {
    return this.events.filter((event) => event.sequence > sequence);
  }

  private publish(kind: CacheEvent["kind"], key: string): void {
    this.sequence += 1;
    this.events.push({ sequence: this.sequence, kind, key });
    this.events = this.events.slice(-this.keptEvents);
  }
}
