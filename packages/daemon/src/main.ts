#!/usr/bin/env node
//! The daemon's process: reads the start-up file, starts, stops on signals.
import { createLogger, describeIssues, systemClock } from "@lovagebend/common";
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { startDaemon } from "./daemon.js";
import { parseStartUpFile } from "./start-up-file.js";

const usageExitCode = 2;
const cutOffExitCode = 3;

const options = await yargs(hideBin(process.argv))
  .scriptName("lovagebendd")
  .usage("$0 --file FILE\n\nRuns the router of one entry VM.")
  .option("file", { type: "string", demandOption: true, describe: "the start-up file (JSON)" })
  .example("$0 --file /run/lovagebend/wien-a-1.json", "start with this file")
  .strict()
  .parseAsync();

const file = parseStartUpFile(await readFile(options.file, "utf8"));
if (file.isErr) {
  process.stderr.write(`${options.file} is not valid:\n${describeIssues(file.error)}\n`);
  process.exit(usageExitCode);
}
const logger = createLogger(file.value.instance);
const daemon = await startDaemon(file.value, { clock: systemClock, logger, createId: randomUUID });
process.stdout.write(
  `${JSON.stringify({ callerPort: daemon.callerPort, controlPort: daemon.controlPort })}\n`,
);

let signals = 0;
const onSignal = (): void => {
  signals += 1;
  if (signals > 1) {
    process.exitCode = cutOffExitCode;
    daemon.cutOff();
    return;
  }
  void daemon.stop();
};
process.on("SIGTERM", onSignal);
process.on("SIGINT", onSignal);
