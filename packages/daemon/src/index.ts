//! The daemon of one entry VM.
export { startDaemon, type RunningDaemon, type Surroundings } from "./daemon.js";
export { parseStartUpFile, type StartUpFile } from "./start-up-file.js";
