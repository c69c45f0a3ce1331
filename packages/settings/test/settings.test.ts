//! Settings paths, validation, and the forward-only settings state.
import { describeIssues } from "@lovagebend/common";
import t from "tap";
import {
  getAtPath,
  mergeView,
  parseTeamDocument,
  setAtPath,
  SettingsState,
  splitPath,
  type SettingsChange,
} from "../src/index.js";

function createChange(revision: number, team: string, document: unknown = {}): SettingsChange {
  return { revision, team, author: "operator", time: "", nonce: `n${revision}`, document };
}

t.test("an issue states the path, the value found and the expected value", (t) => {
  const parsed = parseTeamDocument({
    routes: { advice: { kind: "modl" } },
    targets: {
      "Engine 1": {},
      slow: { kind: "service", service: "s", host: "example.org", port: 0 },
    },
    workspaces: { one: { weight: -1, tokenDigest: "short", routes: [] } },
    surprise: true,
  });
  t.matchSnapshot(parsed.isErr ? describeIssues(parsed.error) : "", "issues");
  t.end();
});

t.test("names and references are validated across all subtrees", (t) => {
  const state = SettingsState.of(2, [
    createChange(1, "a", { routes: { advice: { kind: "model", pipeline: "missing" } } }),
    createChange(2, "b", {
      routes: { advice: { kind: "service", service: "s", repeatable: true } },
    }),
  ]);
  const view = mergeView(state);
  t.matchSnapshot(view.isErr ? describeIssues(view.error) : "", "issues");
  t.end();
});

t.test("a state applies only consecutive changes and never returns to an earlier revision", (t) => {
  const state = SettingsState.empty.withChanges([createChange(1, "a"), createChange(2, "b")]);
  t.equal(state.revision, 2);
  t.equal(state.withChanges([createChange(4, "a")]).revision, 2);
  t.equal(
    state.withChanges([createChange(1, "a"), createChange(2, "b"), createChange(3, "a")]).revision,
    3,
  );
  t.equal(state.laterOf(SettingsState.of(1, [])), state);
  t.equal(state.laterOf(SettingsState.of(2, [])), state);
  t.same(
    state.changesSince(1)?.map(({ revision }) => revision),
    [2],
  );
  t.equal(SettingsState.of(9, []).changesSince(3), undefined);
  t.end();
});

t.test("paths address values in a team's subtree", (t) => {
  t.same(splitPath("/advisory/limits/queueMilliseconds").unwrapOr(undefined), {
    team: "advisory",
    segments: ["limits", "queueMilliseconds"],
  });
  for (const wrong of ["advisory", "/", "//x", "/a//b"]) t.ok(splitPath(wrong).isErr, wrong);
  const document = { limits: { queueMilliseconds: 5 } };
  t.same(setAtPath(document, ["limits", "queueMilliseconds"], 7), {
    limits: { queueMilliseconds: 7 },
  });
  t.same(setAtPath(document, ["limits"], undefined), {});
  t.same(setAtPath({}, ["__proto__", "x"], 1), JSON.parse('{"__proto__":{"x":1}}'));
  t.equal(getAtPath(document, ["toString"]), undefined);
  t.same(document, { limits: { queueMilliseconds: 5 } });
  t.end();
});
