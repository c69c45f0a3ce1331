//! Cuts an event stream into whole events, so that a stream that breaks off within an
//! event can be continued without a torn one.

/// Whole events as they came, and the identifier of the last of them.
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastId: string | undefined;
}

const lineFeed = 0x0a;
const none: WholeEvents = { bytes: Buffer.alloc(0), count: 0, lastId: undefined };

export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);
  private broken = false;

  constructor(private readonly largestEventBytes: number) {}

  /// Whether the target sent an event beyond the bound.
  get isBroken(): boolean {
    return this.broken;
  }

  /// Bytes of an event that has not ended.
  get pendingBytes(): number {
    return this.pending.length;
  }

  /// Takes in bytes and returns the events that are whole by now.
  push(chunk: Buffer): WholeEvents {
    const all = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    let start = 0;
    let count = 0;
    let lastStart = 0;
    for (let end = blankLine(all, 0); end !== -1; end = blankLine(all, start)) {
      lastStart = start;
      start = end;
      count += 1;
    }
    this.pending = all.subarray(start);
    if (this.pending.length > this.largestEventBytes) this.broken = true;
    if (count === 0) return none;
    return {
      bytes: all.subarray(0, start),
      count,
      lastId: idOf(all.subarray(lastStart, start)),
    };
  }
}

// The place after the next blank line, which ends an event; -1 without one.
function blankLine(bytes: Buffer, from: number): number {
  for (let place = bytes.indexOf(lineFeed, from); place !== -1;) {
    const next = bytes.indexOf(lineFeed, place + 1);
    if (next === -1) return -1;
    const between = next - place;
    if (between === 1 || (between === 2 && bytes[place + 1] === 0x0d)) return next + 1;
    place = next;
  }
  return -1;
}

function idOf(event: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString("latin1"))?.[1];
}
