//! Merges and validates the subtrees of all teams into the view of the settings that a
//! daemon reads.
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

/// The settings of all teams, by name. Each limit is the strictest that a team sets.
/// `workspaceByTokenDigest` maps the token digest of a workspace to its name.
export interface SettingsView {
  readonly revision: number;
  readonly routes: ReadonlyMap<string, RouteSettings>;
  readonly pipelines: ReadonlyMap<string, PipelineSettings>;
  readonly targets: ReadonlyMap<string, TargetSettings>;
  readonly workspaces: ReadonlyMap<string, WorkspaceSettings>;
  readonly workspaceByTokenDigest: ReadonlyMap<string, string>;
  readonly objectives: ReadonlyMap<string, Objective>;
  readonly limits: LimitSettings;
}

const defaultLimits: LimitSettings = { queueMilliseconds: 2_000, requestMilliseconds: 600_000 };

/// Merges and validates the subtrees together: names are unique, and each reference resolves
/// to a name in some subtree. Returns all issues at once.
export function mergeView(state: SettingsState): Result<SettingsView, ValidationIssue[]> {
  const merger = new SettingsMerger();
  for (const change of state.teams.values()) merger.add(change.team, parseCached(change));
  merger.checkReferences();
  if (merger.issues.length > 0) return Result.err(merger.issues);
  return Result.ok(merger.view(state.revision));
}

type ParsedDocument = ReturnType<typeof parseTeamDocument>;
const parsedDocuments = new WeakMap<SettingsChange, ParsedDocument>();

// Changes are immutable, so each is parsed once, not again for each change of another team.
function parseCached(change: SettingsChange): ParsedDocument {
  const known = parsedDocuments.get(change);
  if (known !== undefined) return known;
  const parsed = parseTeamDocument(change.document);
  parsedDocuments.set(change, parsed);
  return parsed;
}

class SettingsMerger {
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
    this.addSection(team, "routes", subtree.routes, this.routes);
    this.addSection(team, "pipelines", subtree.pipelines, this.pipelines);
    this.addSection(team, "targets", subtree.targets, this.targets);
    this.addSection(team, "workspaces", subtree.workspaces, this.workspaces);
    this.addSection(team, "objectives", subtree.objectives, this.objectives);
    if (subtree.limits !== undefined) this.limits = strictestLimits(this.limits, subtree.limits);
  }

  checkReferences(): void {
    for (const [name, route] of this.routes) {
      if (route.kind === RouteKind.Model) {
        this.checkReference("routes", name, "pipeline", route.pipeline, this.pipelines);
      }
    }
    for (const [name, target] of this.targets) {
      if (target.kind !== TargetKind.Engine) continue;
      this.checkReference("targets", name, "pipeline", target.pipeline, this.pipelines);
      const layers = this.pipelines.get(target.pipeline)?.layers ?? Infinity;
      if (target.endLayer <= layers) continue;
      this.addIssue("targets", name, "endLayer", String(target.endLayer), `at most ${layers}`);
    }
    for (const [name, workspace] of this.workspaces) {
      for (const route of workspace.routes)
        this.checkReference("workspaces", name, "routes", route, this.routes);
    }
    for (const [name, objective] of this.objectives) {
      this.checkReference("objectives", name, "route", objective.route, this.routes);
    }
    this.checkTokens();
  }

  view(revision: number): SettingsView {
    const workspaceByTokenDigest = new Map<string, string>();
    for (const [name, workspace] of this.workspaces)
      workspaceByTokenDigest.set(workspace.tokenDigest, name);
    return {
      revision,
      routes: this.routes,
      pipelines: this.pipelines,
      targets: this.targets,
      workspaces: this.workspaces,
      workspaceByTokenDigest,
      objectives: this.objectives,
      limits: this.limits,
    };
  }

  private addSection<T>(
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
        this.addIssue("workspaces", name, "tokenDigest", tokenDigest, `not the token of ${holder}`);
      }
      holders.set(tokenDigest, name);
    }
  }

  private checkReference(
    section: string,
    name: string,
    field: string,
    reference: string,
    existing: ReadonlyMap<string, unknown>,
  ): void {
    if (existing.has(reference)) return;
    this.addIssue(section, name, field, reference, "a name that exists in some subtree");
  }

  private addIssue(
    section: string,
    name: string,
    field: string,
    found: string,
    wanted: string,
  ): void {
    const team = this.owners.get(`${section}/${name}`) ?? "";
    this.issues.push({ path: `/${team}/${section}/${name}/${field}`, found, wanted });
  }
}

function strictestLimits(left: LimitSettings, right: LimitSettings): LimitSettings {
  return {
    queueMilliseconds: Math.min(left.queueMilliseconds, right.queueMilliseconds),
    requestMilliseconds: Math.min(left.requestMilliseconds, right.requestMilliseconds),
  };
}
