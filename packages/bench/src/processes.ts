//! Starts and ends the processes of a small deployment on loopback. Only the test harness
//! starts processes; no process of the product starts another.
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /// The first line of standard output, parsed as JSON.
  readonly readyMessage: Readonly<Record<string, number>>;
  /// The last 5,000 lines of standard error.
  readonly logLines: readonly string[];
}

const maximumLogLines = 5_000;

/// Keeps the processes that it starts, so that all of them can be ended together.
export class ProcessGroup {
  private readonly processes: StartedProcess[] = [];

  /// Starts `script` with Node and waits for its first line of output. Throws when the process
  /// exits before that.
  async start(
    name: string,
    script: string,
    scriptArguments: readonly string[],
  ): Promise<StartedProcess> {
    const child = spawn(process.execPath, [script, ...scriptArguments], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const logLines: string[] = [];
    createInterface({ input: child.stderr }).on("line", (line) => {
      logLines.push(line);
      if (logLines.length > maximumLogLines) logLines.shift();
    });
    const outputLines = createInterface({ input: child.stdout });
    const firstLine = await Promise.race([
      once(outputLines, "line").then(([line]) => line as string),
      once(child, "exit").then(() => undefined),
    ]);
    if (firstLine === undefined) throw new Error(`${name} did not start:\n${logLines.join("\n")}`);
    const started = {
      name,
      child,
      logLines,
      readyMessage: JSON.parse(firstLine) as Record<string, number>,
    };
    this.processes.push(started);
    return started;
  }

  /// Kills all processes and waits until they have exited.
  async close(): Promise<void> {
    await Promise.all(this.processes.map((started) => terminateProcess(started, "SIGKILL")));
  }
}

/// Sends a signal and resolves with the exit code when the process has exited; the code is
/// `null` when a signal ended it.
export async function terminateProcess(
  started: StartedProcess,
  signal: NodeJS.Signals,
): Promise<number | null> {
  const { child } = started;
  if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
  const exited = once(child, "exit");
  child.kill(signal);
  await exited;
  return child.exitCode;
}

/// Returns the path of `main.js` of a package in the npm workspace.
export function resolveProgram(packageName: string): string {
  return fileURLToPath(new URL("main.js", import.meta.resolve(`@lovagebend/${packageName}`)));
}
