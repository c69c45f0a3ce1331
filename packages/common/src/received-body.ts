//! The body of an HTTP message while it is received, within bounds. Counted are the bytes of the body
//! and those on the connection, since the parser discards bytes between the chunks of a body.
import type { Socket } from "node:net";

// The connection may carry this much more than the body: the framing of chunks, and the bytes that
// were read together with it.
const framingFactor = 2;
const framingAllowanceBytes = 64 * 1024;

export class ReceivedBody {
  private storage = Buffer.alloc(0);
  private size = 0;
  private readonly bytesBefore: number;

  /// `connection` is that on which the body arrives.
  constructor(
    private readonly connection: Socket,
    private readonly maximumBytes: number,
  ) {
    this.bytesBefore = connection.bytesRead;
  }

  /// Adds the next chunk. Returns false if the body or what the connection carries for it is too
  /// large.
  add(chunk: Buffer): boolean {
    const size = this.size + chunk.length;
    const received = this.connection.bytesRead - this.bytesBefore;
    if (size > this.maximumBytes) return false;
    if (received > framingFactor * this.maximumBytes + framingAllowanceBytes) return false;
    // A kept chunk takes several hundred bytes however small it is, so that chunks are copied.
    if (size > this.storage.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(size, 2 * this.storage.length));
      this.storage.copy(grown, 0, 0, this.size);
      this.storage = grown;
    }
    chunk.copy(this.storage, this.size);
    this.size = size;
    return true;
  }

  /// All that has been added.
  get bytes(): Buffer {
    return this.storage.subarray(0, this.size);
  }
}
