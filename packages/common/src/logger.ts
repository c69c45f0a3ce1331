//! Structured logging: one JSON object per line. Lines go to standard error unless
//! the caller passes a sink.
import { createConsola, type LogObject } from "consola/core";
import { writeJsonText } from "./json-text.js";
import { quoteValue } from "./quote-value.js";

/// Logs events with their fields. Events that concern a request have its identifier
/// in the field `request`.
export interface Logger {
  info(event: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(event: string, fields?: Readonly<Record<string, unknown>>): void;
  error(event: string, fields?: Readonly<Record<string, unknown>>): void;
}

/// Receives one line without its newline. Must not block.
export type LogSink = (line: string) => void;

let pendingText = "";

// Lines logged in the same iteration of the event loop are written by one call.
function writeToStandardError(text: string): void {
  if (pendingText === "") setImmediate(flush);
  pendingText += `${text}\n`;
}

function flush(): void {
  process.stderr.write(pendingText);
  pendingText = "";
}

/// Creates a logger that adds the field `instance` to each line.
export function createLogger(instance: string, sink: LogSink = writeToStandardError): Logger {
  const consola = createConsola({
    throttle: 0,
    reporters: [
      {
        log: (entry: LogObject) => {
          sink(formatLine(instance, entry));
        },
      },
    ],
  });
  return {
    info: (event, fields = {}) => {
      consola.info(event, fields);
    },
    warn: (event, fields = {}) => {
      consola.warn(event, fields);
    },
    error: (event, fields = {}) => {
      consola.error(event, fields);
    },
  };
}

function formatLine(instance: string, entry: LogObject): string {
  const [event, fields] = entry.args as [string, Record<string, unknown>];
  const head = { time: entry.date.toISOString(), level: entry.type, instance, event };
  return writeJsonText({ ...head, ...fields }).unwrapOrElse((reason) =>
    JSON.stringify({ ...head, fields: quoteValue(fields), reason }),
  );
}
