//! Quarantine of the parts of prompts that crash targets: shared evidence of crashes and
//! survivals, verdicts by contrast, and the admission of requests.
export { CrashRecords, PartStatus, type CrashRecord } from "./crash-records.js";
export { verdictSchema, type QuarantineExchange, type QuarantineState } from "./exchange.js";
export { findGuiltyPart, type GuiltyPart } from "./guilty-part.js";
export { PromptQuarantine, type Admission, type Conviction } from "./prompt-quarantine.js";
export { VerdictState, type Verdict } from "./verdicts.js";
