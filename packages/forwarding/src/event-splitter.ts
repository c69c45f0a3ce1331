//! Splits an event stream (SSE) into complete events. If a stream breaks off within an event,
//! the caller has received only complete events, and the stream can be resumed after the
//! last of them.

/// Complete events, byte for byte as received, and the last identifier among them. Comments count as
/// events; they have no identifier.
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastEventId: string | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
// The memory of a part can be many times its length.
const maximumPendingParts = 64;
const noEvents: CompleteEvents = { bytes: Buffer.alloc(0), count: 0, lastEventId: undefined };

export class EventSplitter {
  private pending: Buffer[] = [];
  private pendingLength = 0;
  /// The length of the unfinished line, whether it begins with a carriage return, and whether
  /// it is the first line of its event.
  private lineLength = 0;
  private lineBeginsWithReturn = false;
  private isFirstLine = true;
  private isOversized = false;

  constructor(private readonly maximumEventBytes: number) {}

  /// Whether an event without its end has exceeded `maximumEventBytes`. Its bytes have been dropped, so
  /// that no event is returned any more.
  get hasOversizedEvent(): boolean {
    return this.isOversized;
  }

  /// The number of bytes received of an event that is not complete. More than 0 from an oversized event
  /// on.
  get pendingBytes(): number {
    return this.pendingLength;
  }

  /// Adds received bytes and returns the events that they complete. Reads each byte once, so
  /// that the cost does not depend on the sizes of the chunks.
  push(chunk: Buffer): CompleteEvents {
    if (this.isOversized) return noEvents;
    const eventEnds = this.findEventEnds(chunk);
    const end = eventEnds.at(-1);
    if (end === undefined) {
      this.keep(chunk);
      return noEvents;
    }
    const bytes = Buffer.concat([...this.pending, chunk.subarray(0, end)]);
    this.pending = [];
    this.pendingLength = 0;
    this.keep(chunk.subarray(end));
    return { bytes, count: eventEnds.length, lastEventId: findLastEventId(bytes) };
  }

  private keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.pending.push(bytes);
    this.pendingLength += bytes.length;
    if (this.pending.length > maximumPendingParts) this.pending = [Buffer.concat(this.pending)];
    if (this.pendingLength <= this.maximumEventBytes) return;
    this.isOversized = true;
    this.pending = [];
  }

  // The positions after the blank lines that end an event. A blank line that follows no other
  // line of its event does not end it.
  private findEventEnds(chunk: Buffer): number[] {
    const ends: number[] = [];
    let position = 0;
    while (position < chunk.length) {
      const lineEnd = chunk.indexOf(lineFeed, position);
      const partEnd = lineEnd === -1 ? chunk.length : lineEnd;
      if (this.lineLength === 0 && partEnd > position)
        this.lineBeginsWithReturn = chunk[position] === carriageReturn;
      this.lineLength += partEnd - position;
      if (lineEnd === -1) break;
      position = lineEnd + 1;
      const isBlank = this.lineLength === 0 || (this.lineLength === 1 && this.lineBeginsWithReturn);
      if (isBlank && !this.isFirstLine) ends.push(position);
      this.isFirstLine = isBlank && !this.isFirstLine;
      this.lineLength = 0;
    }
    return ends;
  }
}

function findLastEventId(events: Buffer): string | undefined {
  const lineStart = events.lastIndexOf("\nid:") + 1;
  return /^id: ?([^\r\n]*)/.exec(events.toString("latin1", lineStart))?.[1];
}
