//! Which target holds streams up, told from the streams alone.
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

t.test("the one target that no other stream moves across is the finding", (t) => {
  const streams = [stream("r", "abcd", 800), stream("s", "ab", 980), stream("u", "xd", 990)];
  t.same(findUnresponsive(streams), { r: "c" });
  t.end();
});

t.test("streams that fell silent together share their candidates", (t) => {
  const streams = [stream("r", "abc", 800), stream("s", "xbc", 810), stream("u", "axc", 990)];
  t.same(findUnresponsive(streams), { r: "b", s: "b" });
  t.end();
});

t.test("a lone stream has all of its targets as candidates", (t) => {
  t.same(findUnresponsive([stream("r", "abc", 800)]), { r: "abc" });
  t.end();
});

t.test("a stream that waits while all its targets move accuses none", (t) => {
  t.same(findUnresponsive([stream("r", "ab", 800), stream("s", "ab", 990)]), { r: "" });
  t.end();
});

t.test("a stream within its patience is left alone", (t) => {
  t.same(findUnresponsive([stream("r", "ab", 950)]), {});
  t.end();
});
