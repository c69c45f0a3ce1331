#!/usr/bin/env node
//! The tool's entry point: prints results on standard output, and progress and errors on
//! standard error.
import { createConsola } from "consola";
import { runCommandLine } from "./command-line.js";

const consola = createConsola({ stdout: process.stderr, stderr: process.stderr });
process.exitCode = await runCommandLine(process.argv.slice(2), {
  print: (text) => {
    process.stdout.write(`${text}\n`);
  },
  reportProgress: (text) => {
    consola.info(text);
  },
  reportError: (text) => {
    consola.error(text);
  },
});
