//! An entry VM that forwards requests by host and path: its parts put together.
export { startEntryVm, type RunningEntryVm } from "./entry-vm.js";
export type { Address, EntryPorts, EntryIdentity, EntryTerms, TableNames } from "./ports.js";
export { boundedOutput, type BoundedOutput } from "./bounded-output.js";
