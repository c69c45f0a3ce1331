//! Detection of unresponsive targets from the progress of streams alone.
import t from "tap";
import { findUnresponsiveTargets, type WatchedStream } from "../src/index.js";

function stream(request: string, targets: string, lastProgressAt: number): WatchedStream {
  return { request, targets: targets.split(""), lastProgressAt, stallTimeout: 100 };
}

function findUnresponsive(streams: readonly WatchedStream[], now = 1_000): Record<string, string> {
  return Object.fromEntries(
    [...findUnresponsiveTargets(streams, now)].map(([request, targets]) => [
      request,
      targets.join(""),
    ]),
  );
}

t.test("the only target without progress on other streams is reported", (t) => {
  const streams = [stream("r", "abcd", 800), stream("s", "ab", 980), stream("u", "xd", 990)];
  t.same(findUnresponsive(streams), { r: "c" });
  t.end();
});

t.test("streams that stalled at the same time have the same candidate", (t) => {
  const streams = [stream("r", "abc", 800), stream("s", "xbc", 810), stream("u", "axc", 990)];
  t.same(findUnresponsive(streams), { r: "b", s: "b" });
  t.end();
});

t.test("all targets of a single stream are candidates", (t) => {
  t.same(findUnresponsive([stream("r", "abc", 800)]), { r: "abc" });
  t.end();
});

t.test("a stalled stream has no candidates if all its targets make progress", (t) => {
  t.same(findUnresponsive([stream("r", "ab", 800), stream("s", "ab", 990)]), { r: "" });
  t.end();
});

t.test("a stream within its stall timeout is not reported", (t) => {
  t.same(findUnresponsive([stream("r", "ab", 950)]), {});
  t.end();
});
