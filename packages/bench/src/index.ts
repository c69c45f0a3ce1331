//! Test harness for benchmarks, the demo and whole-process tests: starts small deployments
//! of separate processes and sends them requests as a caller.
export { chat, type ChatOutcome, type ChatRequest } from "./chat-caller.js";
export {
  deploy,
  operatorKey,
  restartEntryVm,
  workspaceToken,
  type Deployment,
} from "./deployment.js";
export { fetchJson } from "./fetch-json.js";
export { terminateProcess } from "./processes.js";
