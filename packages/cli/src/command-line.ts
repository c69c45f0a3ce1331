//! Defines the commands of the operators' tool, their arguments and options, and runs the
//! one given on the command line.
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

const jsonOption = { type: "boolean", default: false, describe: "print JSON" } as const;
const controlOption = {
  type: "string",
  default: "http://127.0.0.1:7001",
  describe: "base URL of a daemon's control server (LOVAGEBEND_CONTROL)",
} as const;
const keyOption = {
  type: "string",
  default: "",
  describe: "the operator's API key (LOVAGEBEND_KEY)",
} as const;
const pathArgument = {
  type: "string",
  demandOption: true,
  describe: "path of a setting, such as /team/section/name",
} as const;
const fileArgument = {
  type: "string",
  demandOption: true,
  describe: "JSON file with the subtree of a team",
} as const;
const teamArgument = { type: "string", demandOption: true, describe: "name of the team" } as const;

/// Runs one command and returns its exit code. Errors are reported on `output`. Never throws.
export async function runCommandLine(
  commandArguments: readonly string[],
  output: Output,
): Promise<ExitCode> {
  let exitCode = ExitCode.Success;
  const runCommand = async (command: () => Promise<ExitCode>): Promise<void> => {
    exitCode = await command();
  };
  const createClient = (options: { control: string; key: string }): ControlClient =>
    new ControlClient(options.control, options.key);
  const commands = yargs([...commandArguments])
    .scriptName("lovagebend")
    .env("LOVAGEBEND")
    .options({ json: jsonOption, control: controlOption, key: keyOption })
    .command("settings", "read and change settings", (settings) =>
      settings
        .command(
          "get [path]",
          "print the settings at a path",
          (command) => command.positional("path", { type: "string", default: "/" }),
          (options) => runCommand(() => getSettings(createClient(options), options.path, output)),
        )
        .command(
          "set <path> <value>",
          "change one value and wait until it is in force at every entry VM",
          (command) =>
            command.positional("path", pathArgument).positional("value", {
              type: "string",
              demandOption: true,
              describe: "new value as JSON",
            }),
          (options) =>
            runCommand(() =>
              setSetting(createClient(options), options.path, options.value, options.json, output),
            ),
        )
        .command(
          "apply <team> <file>",
          "replace the subtree of a team and wait until it is in force at every entry VM",
          (command) => command.positional("team", teamArgument).positional("file", fileArgument),
          (options) =>
            runCommand(() =>
              applyFile(createClient(options), options.team, options.file, options.json, output),
            ),
        )
        .command(
          "diff <team> <file>",
          "show the changes that applying a file would make",
          (command) => command.positional("team", teamArgument).positional("file", fileArgument),
          (options) =>
            runCommand(() =>
              diffFile(createClient(options), options.team, options.file, options.json, output),
            ),
        )
        .command(
          "history",
          "print the most recent changes",
          (command) => command,
          (options) => runCommand(() => showHistory(createClient(options), options.json, output)),
        )
        .demandCommand(1),
    )
    .command(
      "check <file>",
      "validate a file with the subtree of a team, without a daemon",
      (command) => command.positional("file", fileArgument),
      (options) => runCommand(() => checkFile(options.file, options.json, output)),
    )
    .command(
      "status",
      "show the entry VMs and the settings revision in force at each",
      (command) => command,
      (options) => runCommand(() => showStatus(createClient(options), options.json, output)),
    )
    .command(
      "targets",
      "show the targets and their state",
      (command) => command,
      (options) => runCommand(() => showTargets(createClient(options), options.json, output)),
    )
    .command(
      "queues",
      "show the length of each queue and the age of its oldest request",
      (command) => command,
      (options) => runCommand(() => showQueues(createClient(options), options.json, output)),
    )
    .command(
      "drain",
      "shut the entry VM down gracefully and wait until it has stopped",
      (command) => command,
      (options) => runCommand(() => drain(createClient(options), options.json, output)),
    )
    .command("report", "print reports", (report) =>
      report
        .command(
          "burn",
          "show the burn rates of the error budgets",
          (command) =>
            command.option("html", {
              type: "string",
              describe: "also write the report to this HTML file",
            }),
          (options) =>
            runCommand(() => reportBurn(createClient(options), options.html, options.json, output)),
        )
        .demandCommand(1),
    )
    .example("$0 status", "show which revision is in force at each entry VM")
    .example(
      "$0 settings set /advisory/workspaces/workshop-7/weight 3",
      "change a workspace's weight",
    )
    .example("$0 report burn --html burn.html", "write the burn report as an HTML page")
    .demandCommand(1)
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      throw error instanceof CommandError ? error : new CommandError(ExitCode.UsageError, message);
    });
  try {
    await commands.parseAsync();
    return exitCode;
  } catch (error) {
    output.reportError(error instanceof Error ? error.message : String(error));
    return error instanceof CommandError ? error.exitCode : ExitCode.Failure;
  }
}
