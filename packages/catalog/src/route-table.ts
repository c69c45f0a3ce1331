//! The routes, services and workspaces of one version of the operator's document.
import type { Milliseconds } from "@lovagebend/common";
import type { ForwardRoute } from "./forward-route.js";
import type { ServiceProfile } from "./service-profile.js";

/// Callers that present one of `keys` belong to the workspace.
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/// What a caller may send and how long it may take or stay idle.
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
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

/// One version of all declarations; immutable.
export class RouteTable {
  readonly version: number;
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly limits: CallerLimits;
  private readonly byHost = new Map<string, ForwardRoute[]>();
  private readonly byKey = new Map<string, Workspace>();
  private readonly hasWorkspaces: boolean;

  constructor(parts: RouteTableParts) {
    this.version = parts.version;
    this.services = parts.services;
    this.limits = parts.limits;
    for (const route of parts.routes) {
      const host = route.host.toLowerCase();
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    this.hasWorkspaces = parts.workspaces.length > 0;
    for (const workspace of parts.workspaces) {
      for (const key of workspace.keys) this.byKey.set(key, workspace);
    }
  }

  /// The route of the longest prefix that begins `path`, among those of `host`. A port
  /// in `host` and a query in `path` are left out of account.
  match(host: string, path: string): ForwardRoute | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    const query = path.indexOf("?");
    const bare = query === -1 ? path : path.slice(0, query);
    return this.byHost.get(name)?.find((route) => bare.startsWith(route.pathPrefix));
  }

  /// Whether a request on `route` needs the key of a workspace.
  needsKey(route: ForwardRoute): boolean {
    return this.hasWorkspaces && !route.isPublic;
  }

  workspaceOf(key: string): Workspace | undefined {
    return this.byKey.get(key);
  }
}
