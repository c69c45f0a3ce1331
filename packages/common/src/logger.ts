//! Structured logs: one JSON object a line, on standard error unless a sink is given.
import { createConsola, type LogObject } from "consola/core";

/// Writes an event with its fields. Fields carry the request identifier as
/// `request` wherever there is one.
export interface Logger {
  info(event: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(event: string, fields?: Readonly<Record<string, unknown>>): void;
  error(event: string, fields?: Readonly<Record<string, unknown>>): void;
}

/// Takes one line without its end. Must not block.
export type LogSink = (line: string) => void;

let waiting = "";

// Lines of the same turn of the event loop leave in one write.
function writeToStandardError(text: string): void {
  if (waiting === "") setImmediate(flush);
  waiting += `${text}\n`;
}

function flush(): void {
  process.stderr.write(waiting);
  waiting = "";
}

/// Creates a logger whose lines carry `instance`.
export function createLogger(instance: string, sink: LogSink = writeToStandardError): Logger {
  const consola = createConsola({
    throttle: 0,
    reporters: [
      {
        log: (entry: LogObject) => {
          sink(line(instance, entry));
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

function line(instance: string, entry: LogObject): string {
  const [event, fields] = entry.args as [string, Record<string, unknown>];
  return JSON.stringify({
    time: entry.date.toISOString(),
    level: entry.type,
    instance,
    event,
    ...fields,
  });
}
