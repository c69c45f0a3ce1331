#!/usr/bin/env node
//! The tool's process.
import { createConsola } from "consola";
import { runCommandLine } from "./command-line.js";

const consola = createConsola({ stdout: process.stderr, stderr: process.stderr });
process.exitCode = await runCommandLine(process.argv.slice(2), {
  print: (text) => {
    process.stdout.write(`${text}\n`);
  },
  progress: (text) => {
    consola.info(text);
  },
  problem: (text) => {
    consola.error(text);
  },
});
