//! Settings under paths, a subtree per team: their schema, the merged view that
//! a daemon works from, and the store that accepts changes.
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
export { SettingsKeeper } from "./settings-keeper.js";
export { SettingsStore, type ApplyOutcome, type ApplyRequest } from "./settings-store.js";
export { getAtPath, setAtPath, splitPath } from "./settings-path.js";
