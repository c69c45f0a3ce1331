//! Starts the processes of a small deployment on loopback. Only scaffolding does
//! this; no process of the product starts another.
import { spawn, type ChildProcess } from "node:child_process";
import { createServer } from "node:net";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /// The first line it printed, parsed.
  readonly ready: Readonly<Record<string, number>>;
  /// What it wrote to standard error, line by line, the last few thousand lines.
  readonly log: readonly string[];
}

const keptLogLines = 5_000;

/// The processes started here, so that all of them can be ended.
export class ProcessGroup {
  private readonly processes: StartedProcess[] = [];

  /// Starts `script` with Node and waits for its first line.
  async start(name: string, script: string, words: readonly string[]): Promise<StartedProcess> {
    const child = spawn(process.execPath, [script, ...words], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log: string[] = [];
    createInterface({ input: child.stderr }).on("line", (line) => {
      log.push(line);
      if (log.length > keptLogLines) log.shift();
    });
    const lines = createInterface({ input: child.stdout });
    const first = await Promise.race([
      once(lines, "line").then(([line]) => line as string),
      once(child, "exit").then(() => undefined),
    ]);
    if (first === undefined) throw new Error(`${name} did not start:\n${log.join("\n")}`);
    const started = { name, child, log, ready: JSON.parse(first) as Record<string, number> };
    this.processes.push(started);
    return started;
  }

  /// Ends everything and waits until it has ended.
  async close(): Promise<void> {
    await Promise.all(this.processes.map((started) => endProcess(started, "SIGKILL")));
  }
}

/// Sends a signal and resolves with the exit code when the process has ended.
export async function endProcess(
  started: StartedProcess,
  signal: NodeJS.Signals,
): Promise<number | null> {
  const { child } = started;
  if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
  const ended = once(child, "exit");
  child.kill(signal);
  await ended;
  return child.exitCode;
}

/// The file of a workspace package's program.
export function programOf(packageName: string): string {
  return fileURLToPath(new URL("main.js", import.meta.resolve(`@lovagebend/${packageName}`)));
}

/// Ports on loopback that were free a moment ago.
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = server.address();
    if (typeof address === "object" && address !== null) ports.push(address.port);
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
