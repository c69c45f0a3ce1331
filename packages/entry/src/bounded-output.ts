//! Log lines on standard output that never hold the process up: beyond a bound they are
//! dropped and counted.
import type { LogSink } from "@lovagebend/common";
import sonicBoom from "sonic-boom";

// A few seconds of logs at the heaviest load.
const largestBacklogBytes = 1024 * 1024;
const gatherBytes = 4096;
const flushPause = 500;

export interface BoundedOutput {
  readonly write: LogSink;
  /// Lines dropped so far.
  readonly dropped: () => number;
  /// Writes what is waiting, before the process ends.
  readonly flush: () => void;
}

/// Opens standard output.
export function boundedOutput(): BoundedOutput {
  const output = new sonicBoom.SonicBoom({
    fd: 1,
    sync: false,
    minLength: gatherBytes,
    maxLength: largestBacklogBytes,
    periodicFlush: flushPause,
  });
  let dropped = 0;
  output.on("drop", () => {
    dropped += 1;
  });
  // A reader that has gone away must not end the process.
  output.on("error", () => {
    dropped += 1;
  });
  return {
    write: (line) => {
      output.write(`${line}\n`);
    },
    dropped: () => dropped,
    flush: () => {
      output.flushSync();
    },
  };
}
