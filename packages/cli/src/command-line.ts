//! The commands and their options.
import yargs from "yargs";
import { CommandError, ControlClient } from "./control-client.js";
import { ExitCode } from "./exit-code.js";
import type { Output } from "./output.js";
import {
  checkFile,
  applyFile,
  diffFile,
  getSettings,
  setSetting,
  showHistory,
} from "./settings-commands.js";
import { drain, reportBurn, showQueues, showStatus, showTargets } from "./status-commands.js";

const json = { type: "boolean", default: false, describe: "print JSON" } as const;
const control = {
  type: "string",
  default: "http://127.0.0.1:7001",
  describe: "a daemon's control address (LOVAGEBEND_CONTROL)",
} as const;
const key = {
  type: "string",
  default: "",
  describe: "the operator's key (LOVAGEBEND_KEY)",
} as const;
const path = {
  type: "string",
  demandOption: true,
  describe: "a path such as /team/section/name",
} as const;
const file = {
  type: "string",
  demandOption: true,
  describe: "a JSON file with a team's subtree",
} as const;
const team = { type: "string", demandOption: true, describe: "the team" } as const;

/// Runs one command and returns its exit code. Never throws.
export async function runCommandLine(words: readonly string[], output: Output): Promise<ExitCode> {
  let exitCode = ExitCode.Done;
  const run = async (command: () => Promise<ExitCode>): Promise<void> => {
    exitCode = await command();
  };
  const client = (options: { control: string; key: string }): ControlClient =>
    new ControlClient(options.control, options.key);
  const commands = yargs([...words])
    .scriptName("lovagebend")
    .env("LOVAGEBEND")
    .options({ json, control, key })
    .command("settings", "read and change settings", (settings) =>
      settings
        .command(
          "get [path]",
          "print the settings at a path",
          (command) => command.positional("path", { type: "string", default: "/" }),
          (options) => run(() => getSettings(client(options), options.path, output)),
        )
        .command(
          "set <path> <value>",
          "change one value (JSON) and wait until it is in force",
          (command) =>
            command
              .positional("path", path)
              .positional("value", { type: "string", demandOption: true, describe: "JSON" }),
          (options) =>
            run(() =>
              setSetting(client(options), options.path, options.value, options.json, output),
            ),
        )
        .command(
          "apply <team> <file>",
          "replace a team's subtree and wait until it is in force",
          (command) => command.positional("team", team).positional("file", file),
          (options) =>
            run(() => applyFile(client(options), options.team, options.file, options.json, output)),
        )
        .command(
          "diff <team> <file>",
          "show what applying a file would change",
          (command) => command.positional("team", team).positional("file", file),
          (options) =>
            run(() => diffFile(client(options), options.team, options.file, options.json, output)),
        )
        .command(
          "history",
          "print the last changes",
          (command) => command,
          (options) => run(() => showHistory(client(options), options.json, output)),
        )
        .demandCommand(1),
    )
    .command(
      "check <file>",
      "check a file with a team's subtree, without a daemon",
      (command) => command.positional("file", file),
      (options) => run(() => checkFile(options.file, options.json, output)),
    )
    .command(
      "status",
      "show the entry VMs and the revision in force at each",
      (command) => command,
      (options) => run(() => showStatus(client(options), options.json, output)),
    )
    .command(
      "targets",
      "show the targets and their state",
      (command) => command,
      (options) => run(() => showTargets(client(options), options.json, output)),
    )
    .command(
      "queues",
      "show the queues, their length and their age",
      (command) => command,
      (options) => run(() => showQueues(client(options), options.json, output)),
    )
    .command(
      "drain",
      "stop the entry VM gracefully and wait for its requests",
      (command) => command,
      (options) => run(() => drain(client(options), options.json, output)),
    )
    .command("report", "reports", (report) =>
      report
        .command(
          "burn",
          "show how fast error budgets are spent",
          (command) =>
            command.option("html", { type: "string", describe: "write a page to this file" }),
          (options) => run(() => reportBurn(client(options), options.html, options.json, output)),
        )
        .demandCommand(1),
    )
    .example("$0 status", "where which revision is in force")
    .example("$0 settings set /advisory/workspaces/workshop-7/weight 3", "change a share")
    .example("$0 report burn --html burn.html", "write the burn report as a page")
    .demandCommand(1)
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      throw error instanceof CommandError ? error : new CommandError(ExitCode.Usage, message);
    });
  try {
    await commands.parseAsync();
    return exitCode;
  } catch (error) {
    output.problem(error instanceof Error ? error.message : String(error));
    return error instanceof CommandError ? error.exitCode : ExitCode.Failed;
  }
}
