//! Log lines on standard output that never hold the process up: beyond a bound they are
//! dropped and counted.
import type { LogSink } from "@lovagebend/common";
import sonicBoom from "sonic-boom";

// A few seconds of logs at the heaviest load.
const maximumBacklogBytes = 1024 * 1024;
const minimumWriteBytes = 4096;
const flushIntervalMilliseconds = 500;

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
    minLength: minimumWriteBytes,
    maxLength: maximumBacklogBytes,
    periodicFlush: flushIntervalMilliseconds,
  });
  let droppedLines = 0;
  output.on("drop", () => {
    droppedLines += 1;
  });
  // A reader that has gone away must not end the process.
  output.on("error", () => {
    droppedLines += 1;
  });
  return {
    write: (line) => {
      output.write(`${line}\n`);
    },
    dropped: () => droppedLines,
    flush: () => {
      output.flushSync();
    },
  };
}
