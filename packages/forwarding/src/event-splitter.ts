//! Splits an event stream (SSE) into complete events. If a stream breaks off within an event,
//! the caller has received only complete events, and the stream can be resumed after the
//! last of them.

/// Complete events, byte for byte as received, and the identifier of the last one.
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastEventId: string | undefined;
}

const lineFeed = 0x0a;
const noEvents: CompleteEvents = { bytes: Buffer.alloc(0), count: 0, lastEventId: undefined };

export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);
  private isOversized = false;

  constructor(private readonly maximumEventBytes: number) {}

  /// Whether an event without its end exceeds `maximumEventBytes`.
  get hasOversizedEvent(): boolean {
    return this.isOversized;
  }

  /// The number of bytes received of an event that is not complete.
  get pendingBytes(): number {
    return this.remainder.length;
  }

  /// Adds received bytes and returns the events that they complete.
  push(chunk: Buffer): CompleteEvents {
    const bytes = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
    let start = 0;
    let count = 0;
    let lastStart = 0;
    for (let end = findEventEnd(bytes, 0); end !== -1; end = findEventEnd(bytes, start)) {
      lastStart = start;
      start = end;
      count += 1;
    }
    this.remainder = bytes.subarray(start);
    if (this.remainder.length > this.maximumEventBytes) this.isOversized = true;
    if (count === 0) return noEvents;
    return {
      bytes: bytes.subarray(0, start),
      count,
      lastEventId: parseEventId(bytes.subarray(lastStart, start)),
    };
  }
}

// The position after the next blank line, which ends an event; -1 if there is none.
function findEventEnd(bytes: Buffer, from: number): number {
  for (let position = bytes.indexOf(lineFeed, from); position !== -1;) {
    const nextPosition = bytes.indexOf(lineFeed, position + 1);
    if (nextPosition === -1) return -1;
    const distance = nextPosition - position;
    if (distance === 1 || (distance === 2 && bytes[position + 1] === 0x0d)) return nextPosition + 1;
    position = nextPosition;
  }
  return -1;
}

function parseEventId(event: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString("latin1"))?.[1];
}
