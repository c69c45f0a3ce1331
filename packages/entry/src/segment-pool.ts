//! Keeps the segments of bodies that were given up, for the bodies that arrive next. Left to the
//! garbage collector they outlive several collections of the young generation, and then stay
//! allocated until V8 has counted 64 MB of them.

const segmentBytes = 64 * 1024;

export class SegmentPool {
  private readonly free: Buffer[] = [];

  constructor(private readonly maximumBytes: number) {}

  get bytes(): number {
    return this.free.length * segmentBytes;
  }

  allocate(bytes: number): Buffer {
    const kept = bytes === segmentBytes ? this.free.pop() : undefined;
    return kept ?? Buffer.allocUnsafeSlow(bytes);
  }

  /// Keeps what is of the usual size. Nothing else may use `segments` any more.
  recycle(segments: readonly Buffer[]): void {
    for (const segment of segments)
      if (segment.length === segmentBytes && this.bytes + segmentBytes <= this.maximumBytes)
        this.free.push(segment);
  }

  /// Gives up half of what is kept.
  trim(): void {
    this.free.length = Math.floor(this.free.length / 2);
  }
}
