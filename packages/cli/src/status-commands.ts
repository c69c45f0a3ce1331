//! The commands that show the state of entry VMs, targets, queues and error budgets, and the
//! one that shuts an entry VM down.
import { burnReportHtml, burnReportText } from "@lovagebend/burn";
import { alignColumns, systemClock, type Milliseconds } from "@lovagebend/common";
import { writeFile } from "node:fs/promises";
import type { ControlClient } from "./control-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJson, type Output } from "./output.js";

const drainPollInterval: Milliseconds = 500;

export async function showStatus(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const status = await client.fetchStatus();
  if (asJson) {
    output.print(formatJson(status));
    return ExitCode.Success;
  }
  const lastConfirmed =
    status.confirmedAge === null ? "never" : `${Math.round(status.confirmedAge)} ms ago`;
  output.print(`revision ${status.revision}, confirmed by the platform ${lastConfirmed}`);
  output.print(`${status.inProgress} requests in progress${status.stopping ? ", stopping" : ""}`);
  const rows = status.entryVms.map(({ name, revision, age }) => [
    name,
    revision === null ? "unknown" : String(revision),
    age === null ? "" : `${Math.round(age)} ms ago`,
  ]);
  output.print(alignColumns(["entry VM", "revision", "last seen"], rows));
  return ExitCode.Success;
}

export async function showTargets(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const targets = await client.fetchTargets();
  const rows = targets.map(({ name, group, dataCentre, state, load }) => [
    name,
    group,
    dataCentre,
    state,
    String(load.queuedTokens),
  ]);
  const columnNames = ["target", "group", "data centre", "state", "queued tokens"];
  output.print(asJson ? formatJson(targets) : alignColumns(columnNames, rows));
  return ExitCode.Success;
}

export async function showQueues(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const queues = await client.fetchQueues();
  const rows = queues.map(({ group, length, age, running, capacity }) => [
    group,
    String(length),
    `${Math.round(age)} ms`,
    String(running),
    capacity.toFixed(0),
  ]);
  const columnNames = ["group", "waiting", "oldest", "running", "capacity"];
  output.print(asJson ? formatJson(queues) : alignColumns(columnNames, rows));
  return ExitCode.Success;
}

/// Starts the graceful shutdown and waits until the daemon no longer responds.
export async function drain(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  await client.drain();
  let reportedInProgress = -1;
  for (;;) {
    const status = await client.fetchStatus().catch(() => undefined);
    if (status === undefined) break;
    if (status.inProgress !== reportedInProgress)
      output.reportProgress(`${status.inProgress} requests in progress`);
    reportedInProgress = status.inProgress;
    await systemClock.sleep(drainPollInterval);
  }
  output.print(asJson ? formatJson({ stopped: true }) : "stopped");
  return ExitCode.Success;
}

export async function reportBurn(
  client: ControlClient,
  html: string | undefined,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const { report, missing } = await client.fetchBurnReport();
  if (html !== undefined) await writeFile(html, burnReportHtml(report));
  output.print(asJson ? formatJson({ report, missing }) : burnReportText(report));
  if (missing.length > 0)
    output.reportProgress(`report without ${missing.join(", ")}: no response`);
  return ExitCode.Success;
}
