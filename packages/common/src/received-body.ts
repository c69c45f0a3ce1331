//! The body of an HTTP message while it is received, within bounds. Counted are the bytes of the body
//! and those on the connection, since the parser discards bytes between the chunks of a body.
import type { Socket } from "node:net";
import { MessageBody } from "./message-body.js";

// The connection may carry this much more than the body: the framing of chunks, and the bytes that
// were read together with it.
const framingFactor = 2;
const framingAllowanceBytes = 64 * 1024;
const smallestFurtherSegment = 1_024;
const largestSegment = 64 * 1024;

export enum Reception {
  Added = "added",
  /// The body, or what the connection carries for it, is too large.
  TooLarge = "too large",
  /// No memory could be reserved for the chunk.
  NoMemory = "no memory",
}

/// Where the buffers of a body come from.
export interface BodyMemory {
  /// Returns a buffer of `bytes`, or undefined if there is no memory for it.
  allocate(bytes: number): Buffer | undefined;
  /// Takes back the buffers of a body that has been given up, which nothing else uses.
  recycle(buffers: readonly Buffer[]): void;
}

export interface ReceivedBodyOptions {
  readonly maximumBytes: number;
  /// The length that the message names, if any. No memory beyond it is reserved.
  readonly announcedBytes?: number | undefined;
  readonly memory?: BodyMemory | undefined;
}

/// Copies the chunks of a body into segments, because a kept chunk takes several hundred bytes
/// however small it is. A full segment is kept as it is: enlarging one buffer would hold the
/// body twice while it is copied.
export class ReceivedBody {
  private readonly segments: Buffer[] = [];
  /// The last of `segments`, and how much of it is used.
  private segment: Buffer = Buffer.alloc(0);
  private used = 0;
  private size = 0;
  private readonly bytesBefore: number;

  /// `connection` is that on which the body arrives.
  constructor(
    private readonly connection: Socket,
    private readonly options: ReceivedBodyOptions,
  ) {
    this.bytesBefore = connection.bytesRead;
  }

  add(chunk: Buffer): Reception {
    const { maximumBytes } = this.options;
    const size = this.size + chunk.length;
    const received = this.connection.bytesRead - this.bytesBefore;
    if (size > maximumBytes) return Reception.TooLarge;
    if (received > framingFactor * maximumBytes + framingAllowanceBytes) return Reception.TooLarge;
    const copied = chunk.copy(this.segment, this.used);
    this.used += copied;
    this.size += copied;
    const remaining = chunk.length - copied;
    if (remaining === 0) return Reception.Added;
    if (!this.startSegment(remaining)) return Reception.NoMemory;
    chunk.copy(this.segment, 0, copied);
    this.used = remaining;
    this.size = size;
    return Reception.Added;
  }

  /// Gives up all that has been added. Nothing may be added afterwards.
  discard(): void {
    this.options.memory?.recycle(this.segments);
    this.segments.length = 0;
  }

  /// All that has been added.
  get body(): MessageBody {
    const parts = this.segments.map((segment) =>
      segment === this.segment ? segment.subarray(0, this.used) : segment,
    );
    return new MessageBody(parts, this.size);
  }

  // A body that arrives in one chunk takes exactly its size. Later segments grow with the body, so that
  // a body of many small chunks has few of them, and little is reserved that stays empty.
  private startSegment(needed: number): boolean {
    const { maximumBytes, announcedBytes = maximumBytes, memory } = this.options;
    const isFirst = this.segments.length === 0;
    const wanted = Math.min(Math.max(this.size, smallestFurtherSegment), largestSegment);
    const outstanding = announcedBytes - this.size;
    const bytes = isFirst ? needed : Math.max(needed, Math.min(wanted, outstanding));
    const segment = memory === undefined ? Buffer.allocUnsafeSlow(bytes) : memory.allocate(bytes);
    if (segment === undefined) return false;
    this.segment = segment;
    this.segments.push(this.segment);
    this.used = 0;
    return true;
  }
}
