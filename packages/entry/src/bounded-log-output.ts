//! Non-blocking log output: writes lines to standard output through a buffer of bounded
//! size. Lines that don't fit into the buffer are dropped and counted.
import type { LogSink } from "@lovagebend/common";
import sonicBoom from "sonic-boom";

// Holds a few seconds of log lines at the highest load.
const maximumBacklogBytes = 1024 * 1024;
const minimumWriteBytes = 4096;
const flushIntervalMilliseconds = 500;

export interface BoundedLogOutput {
  readonly write: LogSink;
  /// The number of lines dropped so far.
  readonly droppedLineCount: () => number;
  /// Writes the buffered lines synchronously. To be called before the process exits.
  readonly flush: () => void;
}

/// Opens standard output for buffered, asynchronous writes.
export function openBoundedLogOutput(): BoundedLogOutput {
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
  // If the reader closes the pipe, the write error must not end the process.
  output.on("error", () => {
    droppedLines += 1;
  });
  return {
    write: (line) => {
      output.write(`${line}\n`);
    },
    droppedLineCount: () => droppedLines,
    flush: () => {
      output.flushSync();
    },
  };
}
