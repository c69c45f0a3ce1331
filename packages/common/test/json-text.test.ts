//! The bounds on JSON that is read or written.
import t from "tap";
import * as z from "zod";
import { createLogger, parseJson, parseJsonText, writeJsonText } from "../src/index.js";
import { createHostileValues, nesting } from "./hostile-values.js";

// Guards against parsed values that overflow the stack of the code that walks them.
t.test("JSON is parsed up to a depth, and brackets in strings don't count", (t) => {
  const nest = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);
  t.ok(parseJsonText(nest(64)).isOk);
  t.ok(parseJsonText(nest(65)).isErr);
  t.ok(parseJsonText(nest(nesting)).isErr);
  t.ok(parseJson(z.unknown(), nest(nesting)).isErr);
  t.ok(parseJsonText(JSON.stringify(`"\\\\"${nest(100)}\\"`)).isOk);
  t.ok(parseJsonText(JSON.stringify(["\\", nest(100), '"', nest(100)])).isOk);
  for (const text of ["", '"', '"\\"', '"\\', "[", "]]]]", "{"]) t.ok(parseJsonText(text).isErr);
  t.end();
});

// Guards against a log line whose fields end the process that logs them.
t.test("a value without a JSON form is logged in a bounded form", (t) => {
  const hostile = createHostileValues();
  const lines: string[] = [];
  const logger = createLogger("vm", (line) => lines.push(line));
  for (const name of ["nested", "cyclic", "large integer"]) {
    t.ok(writeJsonText(hostile[name]).isErr, name);
    logger.warn("event", { value: hostile[name] });
  }
  t.equal(lines.length, 3);
  for (const line of lines) {
    t.match(JSON.parse(line), { event: "event", instance: "vm" });
    t.ok(line.length < 500);
  }
  t.end();
});
