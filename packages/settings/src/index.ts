//! Settings of all teams, one subtree per team, addressed by paths: the schema, the store
//! that commits changes, the local copy in force at each entry VM, and the merged view that
//! a daemon reads.
export {
  parseTeamDocument,
  RouteKind,
  TargetKind,
  Weighting,
  type EngineTarget,
  type LimitSettings,
  type ModelRoute,
  type Objective,
  type PipelineSettings,
  type RouteSettings,
  type ServiceRoute,
  type ServiceTarget,
  type TargetSettings,
  type TeamDocument,
  type WorkspaceSettings,
} from "./team-document.js";
export { SettingsState, type SettingsChange } from "./settings-state.js";
export { mergeView, type SettingsView } from "./settings-view.js";
export { SettingsReplica } from "./settings-replica.js";
export { SettingsStore, type ApplyOutcome, type ApplyRequest } from "./settings-store.js";
export { getAtPath, setAtPath, splitPath } from "./settings-path.js";
