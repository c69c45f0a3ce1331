//! Scaffolding for benchmarks, the demo and whole-process tests: launches small
//! deployments of separate processes and calls them as callers do.
export { chat, type ChatOutcome, type ChatRequest } from "./chat-caller.js";
export {
  deploy,
  operatorKey,
  restartEntryVm,
  workspaceToken,
  type Deployment,
} from "./deployment.js";
export { fetchJson } from "./fetch-json.js";
export { endProcess } from "./processes.js";
