//! The operators' command-line tool. It reads and changes settings, shows the state of entry
//! VMs, targets and queues, and shuts entry VMs down, through a daemon's control server.
export { ExitCode } from "./exit-code.js";
export { runCommandLine } from "./command-line.js";
