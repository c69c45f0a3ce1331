//! Lookup of the route and the workspace of a request.
import t from "tap";
import { isRetryable, RouteKind, RouteTable, type ForwardRoute } from "../src/index.js";

function createRoute(
  name: string,
  pathPrefix: string,
  change: Partial<ForwardRoute> = {},
): ForwardRoute {
  return {
    name,
    host: "portal.example",
    pathPrefix,
    kind: RouteKind.Idempotent,
    timeout: 1_000,
    latencyObjective: 100,
    priority: 1,
    services: [{ service: "portal", weight: 1 }],
    maximumAttempts: 2,
    isPublic: false,
    isResumable: false,
    eventGapObjective: Infinity,
    ...change,
  };
}

function createTable(routes: readonly ForwardRoute[]): RouteTable {
  return new RouteTable({
    version: 1,
    routes,
    services: new Map(),
    workspaces: [{ name: "guild", keys: ["a", "b"], priority: undefined }],
    limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  });
}

t.test("the longest matching prefix wins, regardless of the order of the routes", (t) => {
  const table = createTable([
    createRoute("short", "/a/"),
    createRoute("long", "/a/b/"),
    createRoute("other", "/c/"),
  ]);
  t.equal(table.match("portal.example", "/a/b/c")?.name, "long");
  t.equal(table.match("PORTAL.example:8080", "/a/x?y=/a/b/")?.name, "short");
  t.equal(
    table.match("portal.example", "/a"),
    undefined,
    "a prefix matches only with its final slash",
  );
  t.equal(table.match("portal.example", "/x?/a/"), undefined, "the query is not matched");
  t.equal(table.match("elsewhere.example", "/a/x"), undefined);
  t.end();
});

t.test("a key identifies one workspace, and public routes require no key", (t) => {
  const table = createTable([
    createRoute("closed", "/a/"),
    createRoute("open", "/b/", { isPublic: true }),
  ]);
  t.equal(table.workspaceOf("b")?.name, "guild");
  t.equal(table.workspaceOf("c"), undefined);
  t.equal(table.needsKey(createRoute("closed", "/a/")), true);
  t.equal(table.needsKey(createRoute("open", "/b/", { isPublic: true })), false);
  t.end();
});

t.test("requests are retried only if the route allows it", (t) => {
  t.equal(isRetryable(createRoute("r", "/", { kind: RouteKind.Idempotent })), true);
  t.equal(isRetryable(createRoute("r", "/", { kind: RouteKind.NonIdempotent })), false);
  t.equal(isRetryable(createRoute("r", "/", { kind: RouteKind.Streaming })), false);
  t.equal(
    isRetryable(createRoute("r", "/", { kind: RouteKind.Streaming, isResumable: true })),
    true,
  );
  t.end();
});
