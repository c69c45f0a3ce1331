//! Which route and workspace a request belongs to.
import t from "tap";
import { mayRepeat, RouteKind, RouteTable, type ForwardRoute } from "../src/index.js";

function route(name: string, pathPrefix: string, change: Partial<ForwardRoute> = {}): ForwardRoute {
  return {
    name,
    host: "portal.example",
    pathPrefix,
    kind: RouteKind.Idempotent,
    timeout: 1_000,
    objective: 100,
    priority: 1,
    services: [{ service: "portal", weight: 1 }],
    largestAttempts: 2,
    isPublic: false,
    resumable: false,
    pauseObjective: Infinity,
    ...change,
  };
}

function table(routes: readonly ForwardRoute[]): RouteTable {
  return new RouteTable({
    version: 1,
    routes,
    services: new Map(),
    workspaces: [{ name: "guild", keys: ["a", "b"], priority: undefined }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  });
}

t.test("the longest prefix of the host's routes wins, whatever their order", (t) => {
  const routes = table([route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")]);
  t.equal(routes.match("portal.example", "/a/b/c")?.name, "long");
  t.equal(routes.match("PORTAL.example:8080", "/a/x?y=/a/b/")?.name, "short");
  t.equal(routes.match("portal.example", "/a"), undefined, "a prefix ends with its slash");
  t.equal(routes.match("portal.example", "/x?/a/"), undefined, "a query is no path");
  t.equal(routes.match("elsewhere.example", "/a/x"), undefined);
  t.end();
});

t.test("a key belongs to one workspace, and public routes need none", (t) => {
  const routes = table([route("closed", "/a/"), route("open", "/b/", { isPublic: true })]);
  t.equal(routes.workspaceOf("b")?.name, "guild");
  t.equal(routes.workspaceOf("c"), undefined);
  t.equal(routes.needsKey(route("closed", "/a/")), true);
  t.equal(routes.needsKey(route("open", "/b/", { isPublic: true })), false);
  t.end();
});

t.test("only what the route says may be repeated", (t) => {
  t.equal(mayRepeat(route("r", "/", { kind: RouteKind.Idempotent })), true);
  t.equal(mayRepeat(route("r", "/", { kind: RouteKind.NonIdempotent })), false);
  t.equal(mayRepeat(route("r", "/", { kind: RouteKind.Streaming })), false);
  t.equal(mayRepeat(route("r", "/", { kind: RouteKind.Streaming, resumable: true })), true);
  t.end();
});
