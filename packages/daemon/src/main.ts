#!/usr/bin/env node
//! The process of a daemon: reads the start-up file and starts the daemon. The first SIGTERM
//! or SIGINT stops it gracefully; a further one aborts the requests in progress.
import { createLogger, describeIssues, systemClock } from "@lovagebend/common";
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { startDaemon } from "./daemon.js";
import { parseStartUpFile } from "./start-up-file.js";

const usageExitCode = 2;
const abortedExitCode = 3;

const options = await yargs(hideBin(process.argv))
  .scriptName("lovagebendd")
  .usage("$0 --file FILE\n\nRuns the router of one entry VM.")
  .option("file", { type: "string", demandOption: true, describe: "the start-up file (JSON)" })
  .example("$0 --file /run/lovagebend/wien-a-1.json", "start with the given start-up file")
  .strict()
  .parseAsync();

const file = parseStartUpFile(await readFile(options.file, "utf8"));
if (file.isErr) {
  process.stderr.write(
    `start-up file ${options.file} is not valid:\n${describeIssues(file.error)}\n`,
  );
  process.exit(usageExitCode);
}
const logger = createLogger(file.value.instance);
const daemon = await startDaemon(file.value, { clock: systemClock, logger, createId: randomUUID });
process.stdout.write(
  `${JSON.stringify({ callerPort: daemon.callerPort, controlPort: daemon.controlPort })}\n`,
);

let signalCount = 0;
const onSignal = (): void => {
  signalCount += 1;
  if (signalCount > 1) {
    process.exitCode = abortedExitCode;
    daemon.abortRequests();
    return;
  }
  void daemon.stop();
};
process.on("SIGTERM", onSignal);
process.on("SIGINT", onSignal);
