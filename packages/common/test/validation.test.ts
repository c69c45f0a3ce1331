//! Descriptions of faults in values from outside.
import t from "tap";
import * as z from "zod";
import { describeIssues, validate } from "../src/index.js";
import { createHostileValues } from "./hostile-values.js";

// Guards against a fault's description that throws or is as long as the value.
t.test("a fault is described in bounded length, whatever the value", (t) => {
  const hostile = createHostileValues();
  for (const [name, value] of Object.entries(hostile)) {
    const result = validate(z.object({ field: z.boolean() }), { field: value });
    t.ok(result.isErr, name);
    if (result.isErr) t.ok(describeIssues(result.error).length < 400, name);
  }
  const many = validate(z.array(z.string()), hostile.wide);
  t.ok(many.isErr && describeIssues(many.error).length < 17_000, "many faults");
  const longKey = validate(z.record(z.string(), z.string()), { ["k".repeat(100_000)]: 1 });
  t.ok(longKey.isErr && describeIssues(longKey.error).length < 400, "a long key");
  t.end();
});

t.test("small values are quoted whole", (t) => {
  const quote = (value: unknown): string | undefined => {
    const result = validate(z.boolean(), value);
    return result.isErr ? result.error[0]?.found : undefined;
  };
  t.equal(quote({ a: [1, "x", null], b: {} }), '{"a":[1,"x",null],"b":{}}');
  t.equal(quote(undefined), "nothing");
  t.equal(quote("text"), '"text"');
  t.end();
});
