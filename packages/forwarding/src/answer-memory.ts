//! Bounds the memory of the answers that are buffered at the same time. A target that sends
//! bytes without end on many connections can otherwise use up the memory of the process.

/// The memory of one answer that is being buffered.
export interface AnswerShare {
  /// Counts one more received chunk.
  add(chunk: Buffer): void;
  /// Must be called once, when the answer is complete or has failed.
  release(): void;
}

interface Holder {
  bytes: number;
  readonly evict: () => void;
}

// The resident memory of a chunk beside its bytes, until it is collected as garbage. An answer may arrive
// in chunks of a few bytes.
const chunkOverheadBytes = 640;

export class AnswerMemory {
  private readonly holders = new Set<Holder>();
  private totalBytes = 0;

  constructor(private readonly maximumBytes: number) {}

  /// Opens the share of an answer. When all shares together exceed the maximum, `evict` is called
  /// for the largest until they take no more than half of it. It has to give the answer up and
  /// release its share.
  open(evict: () => void): AnswerShare {
    const holder: Holder = { bytes: 0, evict };
    this.holders.add(holder);
    return {
      add: (chunk) => {
        if (!this.holders.has(holder)) return;
        const bytes = chunk.length + chunkOverheadBytes;
        holder.bytes += bytes;
        this.totalBytes += bytes;
        if (this.totalBytes > this.maximumBytes) this.evictLargest();
      },
      release: () => {
        if (this.holders.delete(holder)) this.totalBytes -= holder.bytes;
      },
    };
  }

  private evictLargest(): void {
    const largestFirst = [...this.holders].sort((left, right) => right.bytes - left.bytes);
    for (const { evict } of largestFirst) {
      if (this.totalBytes <= this.maximumBytes / 2) return;
      evict();
    }
  }
}
