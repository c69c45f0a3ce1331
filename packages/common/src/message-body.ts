//! The body of a message as the buffers into which it was received, so that a large body is not
//! copied into one buffer.

export class MessageBody {
  /// `parts` hold `length` bytes together.
  constructor(
    readonly parts: readonly Buffer[],
    readonly length: number,
  ) {}

  static of(bytes: Buffer): MessageBody {
    return new MessageBody([bytes], bytes.length);
  }

  /// All bytes in one buffer. Copies a body of several parts.
  toBuffer(): Buffer {
    const [first] = this.parts;
    return this.parts.length === 1 && first !== undefined ? first : Buffer.concat(this.parts);
  }
}
