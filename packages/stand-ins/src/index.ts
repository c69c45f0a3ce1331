//! Test doubles for the systems that the router depends on: engines, services and the
//! platform. Production code must not import this package.
export { startEngine, type EngineOptions } from "./engine.js";
export { startService, type ServiceOptions } from "./service.js";
export { startPlatform, type PlatformOptions } from "./platform.js";
export { endOfSequenceToken, computeReferenceAnswer, tokenize, decodeToken } from "./model.js";
export type { RunningServer } from "./json-server.js";
export { SequenceTable, type RecordedRun, type StepRequest } from "./sequence-table.js";
export { reservePorts } from "./free-ports.js";
export { MemoryTable } from "./memory-table.js";
