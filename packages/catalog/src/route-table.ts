//! The routes, services, workspaces and caller limits of one version of the operator's
//! document, with lookups by host, path and API key.
import type { Milliseconds } from "@lovagebend/common";
import { toEnginePriority } from "./engine-priority.js";
import { RouteKind, type ForwardRoute } from "./forward-route.js";
import type { ServiceProfile } from "./service-profile.js";

/// A caller that presents one of the API keys in `keys` belongs to the workspace.
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/// Limits on a caller's connection: the sizes of headers and body, the time to send the
/// headers, and the idle time.
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

export interface RouteTableParts {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly workspaces: readonly Workspace[];
  readonly limits: CallerLimits;
}

/// One immutable version of the operator's declarations.
export class RouteTable {
  readonly version: number;
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly limits: CallerLimits;
  /// Whether streams differ in the priority that engines are told. Where they do not, the priority
  /// has no effect at engines.
  readonly hasEnginePriorities: boolean;
  private readonly routesByHost = new Map<string, ForwardRoute[]>();
  private readonly workspacesByKey = new Map<string, Workspace>();
  private readonly hasWorkspaces: boolean;

  constructor(parts: RouteTableParts) {
    this.version = parts.version;
    this.services = parts.services;
    this.limits = parts.limits;
    for (const route of parts.routes) {
      const host = route.host.toLowerCase();
      this.routesByHost.set(host, [...(this.routesByHost.get(host) ?? []), route]);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    this.hasWorkspaces = parts.workspaces.length > 0;
    for (const workspace of parts.workspaces) {
      for (const key of workspace.keys) this.workspacesByKey.set(key, workspace);
    }
    const routePriorities = parts.routes
      .filter(({ kind }) => kind === RouteKind.Streaming)
      .map(({ priority }) => priority);
    const workspacePriorities = parts.workspaces.flatMap(({ priority }) => priority ?? []);
    const priorities = [...routePriorities, ...workspacePriorities].map(toEnginePriority);
    this.hasEnginePriorities = routePriorities.length > 0 && new Set(priorities).size > 1;
  }

  /// Returns the route of `host` with the longest path prefix that matches `path`. A port in
  /// `host` and a query in `path` are ignored.
  match(host: string, path: string): ForwardRoute | undefined {
    const hostname = host.replace(/:\d+$/, "").toLowerCase();
    const queryStart = path.indexOf("?");
    const pathWithoutQuery = queryStart === -1 ? path : path.slice(0, queryStart);
    return this.routesByHost
      .get(hostname)
      ?.find((route) => pathWithoutQuery.startsWith(route.pathPrefix));
  }

  /// Whether a request on `route` requires the API key of a workspace.
  needsKey(route: ForwardRoute): boolean {
    return this.hasWorkspaces && !route.isPublic;
  }

  workspaceOf(key: string): Workspace | undefined {
    return this.workspacesByKey.get(key);
  }
}
