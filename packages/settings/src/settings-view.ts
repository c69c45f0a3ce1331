//! The merged view of all teams' subtrees, which a daemon works from.
import type { ValidationIssue } from "@lovagebend/common";
import { Result } from "true-myth";
import type { SettingsChange, SettingsState } from "./settings-state.js";
import {
  parseTeamDocument,
  RouteKind,
  TargetKind,
  type LimitSettings,
  type Objective,
  type PipelineSettings,
  type RouteSettings,
  type TargetSettings,
  type TeamDocument,
  type WorkspaceSettings,
} from "./team-document.js";

/// All settings in force, by name. Limits are the strictest of all teams.
export interface SettingsView {
  readonly revision: number;
  readonly routes: ReadonlyMap<string, RouteSettings>;
  readonly pipelines: ReadonlyMap<string, PipelineSettings>;
  readonly targets: ReadonlyMap<string, TargetSettings>;
  readonly workspaces: ReadonlyMap<string, WorkspaceSettings>;
  readonly workspaceByToken: ReadonlyMap<string, string>;
  readonly objectives: ReadonlyMap<string, Objective>;
  readonly limits: LimitSettings;
}

const defaultLimits: LimitSettings = { queueMilliseconds: 2_000, requestMilliseconds: 600_000 };

/// Merges and checks the subtrees together: names are unique, and whatever one
/// subtree refers to exists in some subtree. All faults are returned at once.
export function mergeView(state: SettingsState): Result<SettingsView, ValidationIssue[]> {
  const merge = new Merge();
  for (const change of state.teams.values()) merge.add(change.team, parsedOnce(change));
  merge.checkReferences();
  if (merge.issues.length > 0) return Result.err(merge.issues);
  return Result.ok(merge.view(state.revision));
}

type ParsedDocument = ReturnType<typeof parseTeamDocument>;
const parsedDocuments = new WeakMap<SettingsChange, ParsedDocument>();

// A change is never altered, so each is parsed once however many follow in other teams.
function parsedOnce(change: SettingsChange): ParsedDocument {
  const known = parsedDocuments.get(change);
  if (known !== undefined) return known;
  const parsed = parseTeamDocument(change.document);
  parsedDocuments.set(change, parsed);
  return parsed;
}

class Merge {
  readonly issues: ValidationIssue[] = [];
  private readonly routes = new Map<string, RouteSettings>();
  private readonly pipelines = new Map<string, PipelineSettings>();
  private readonly targets = new Map<string, TargetSettings>();
  private readonly workspaces = new Map<string, WorkspaceSettings>();
  private readonly objectives = new Map<string, Objective>();
  private readonly owners = new Map<string, string>();
  private limits = defaultLimits;

  add(team: string, parsed: ParsedDocument): void {
    if (parsed.isErr) {
      for (const issue of parsed.error) {
        this.issues.push({ ...issue, path: `/${team}${issue.path}` });
      }
      return;
    }
    const subtree: TeamDocument = parsed.value;
    this.take(team, "routes", subtree.routes, this.routes);
    this.take(team, "pipelines", subtree.pipelines, this.pipelines);
    this.take(team, "targets", subtree.targets, this.targets);
    this.take(team, "workspaces", subtree.workspaces, this.workspaces);
    this.take(team, "objectives", subtree.objectives, this.objectives);
    if (subtree.limits !== undefined) this.limits = strictest(this.limits, subtree.limits);
  }

  checkReferences(): void {
    for (const [name, route] of this.routes) {
      if (route.kind === RouteKind.Model) {
        this.want("routes", name, "pipeline", route.pipeline, this.pipelines);
      }
    }
    for (const [name, target] of this.targets) {
      if (target.kind !== TargetKind.Engine) continue;
      this.want("targets", name, "pipeline", target.pipeline, this.pipelines);
      const layers = this.pipelines.get(target.pipeline)?.layers ?? Infinity;
      if (target.endLayer <= layers) continue;
      this.fault("targets", name, "endLayer", String(target.endLayer), `at most ${layers}`);
    }
    for (const [name, workspace] of this.workspaces) {
      for (const route of workspace.routes)
        this.want("workspaces", name, "routes", route, this.routes);
    }
    for (const [name, objective] of this.objectives) {
      this.want("objectives", name, "route", objective.route, this.routes);
    }
    this.checkTokens();
  }

  view(revision: number): SettingsView {
    const workspaceByToken = new Map<string, string>();
    for (const [name, workspace] of this.workspaces)
      workspaceByToken.set(workspace.tokenDigest, name);
    return {
      revision,
      routes: this.routes,
      pipelines: this.pipelines,
      targets: this.targets,
      workspaces: this.workspaces,
      workspaceByToken,
      objectives: this.objectives,
      limits: this.limits,
    };
  }

  private take<T>(
    team: string,
    section: string,
    from: Readonly<Record<string, T>>,
    into: Map<string, T>,
  ): void {
    for (const [name, value] of Object.entries(from)) {
      const key = `${section}/${name}`;
      const owner = this.owners.get(key);
      if (owner !== undefined) {
        const wanted = `a name that team ${owner} does not use`;
        this.issues.push({ path: `/${team}/${key}`, found: name, wanted });
        continue;
      }
      this.owners.set(key, team);
      into.set(name, value);
    }
  }

  private checkTokens(): void {
    const holders = new Map<string, string>();
    for (const [name, { tokenDigest }] of this.workspaces) {
      const holder = holders.get(tokenDigest);
      if (holder !== undefined) {
        this.fault("workspaces", name, "tokenDigest", tokenDigest, `not the token of ${holder}`);
      }
      holders.set(tokenDigest, name);
    }
  }

  private want(
    section: string,
    name: string,
    field: string,
    wanted: string,
    among: ReadonlyMap<string, unknown>,
  ): void {
    if (among.has(wanted)) return;
    this.fault(section, name, field, wanted, "a name that exists in some subtree");
  }

  private fault(section: string, name: string, field: string, found: string, wanted: string): void {
    const team = this.owners.get(`${section}/${name}`) ?? "";
    this.issues.push({ path: `/${team}/${section}/${name}/${field}`, found, wanted });
  }
}

function strictest(left: LimitSettings, right: LimitSettings): LimitSettings {
  return {
    queueMilliseconds: Math.min(left.queueMilliseconds, right.queueMilliseconds),
    requestMilliseconds: Math.min(left.requestMilliseconds, right.requestMilliseconds),
  };
}
