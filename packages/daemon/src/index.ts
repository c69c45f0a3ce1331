//! The daemon of an entry VM, which routes requests of callers to targets.
export { startDaemon, type RunningDaemon, type DaemonDependencies } from "./daemon.js";
export { parseStartUpFile, type StartUpFile } from "./start-up-file.js";
