//! The operators' command-line tool.
export { ExitCode } from "./exit-code.js";
export { runCommandLine } from "./command-line.js";
