//! Commands that show what is going on, and the one that stops an entry VM.
import { burnReportHtml, burnReportText } from "@lovagebend/burn";
import { alignColumns, systemClock, type Milliseconds } from "@lovagebend/common";
import { writeFile } from "node:fs/promises";
import type { ControlClient } from "./control-client.js";
import { ExitCode } from "./exit-code.js";
import { jsonText, type Output } from "./output.js";

const drainPause: Milliseconds = 500;

export async function showStatus(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const status = await client.status();
  if (asJson) {
    output.print(jsonText(status));
    return ExitCode.Done;
  }
  const confirmed =
    status.confirmedAge === null ? "never" : `${Math.round(status.confirmedAge)} ms ago`;
  output.print(`revision ${status.revision}, confirmed by the platform ${confirmed}`);
  output.print(`${status.inProgress} requests in progress${status.stopping ? ", stopping" : ""}`);
  const rows = status.entryVms.map(({ name, revision, age }) => [
    name,
    revision === null ? "not heard of" : String(revision),
    age === null ? "" : `${Math.round(age)} ms ago`,
  ]);
  output.print(alignColumns(["entry VM", "revision", "heard"], rows));
  return ExitCode.Done;
}

export async function showTargets(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const targets = await client.targets();
  const rows = targets.map(({ name, group, dataCentre, state, load }) => [
    name,
    group,
    dataCentre,
    state,
    String(load.queuedTokens),
  ]);
  const head = ["target", "group", "data centre", "state", "queued tokens"];
  output.print(asJson ? jsonText(targets) : alignColumns(head, rows));
  return ExitCode.Done;
}

export async function showQueues(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const queues = await client.queues();
  const rows = queues.map(({ group, length, age, running, capacity }) => [
    group,
    String(length),
    `${Math.round(age)} ms`,
    String(running),
    capacity.toFixed(0),
  ]);
  const head = ["group", "waiting", "oldest", "running", "capacity"];
  output.print(asJson ? jsonText(queues) : alignColumns(head, rows));
  return ExitCode.Done;
}

/// Starts the graceful stop and waits until the daemon no longer answers.
export async function drain(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  await client.drain();
  let reported = -1;
  for (;;) {
    const status = await client.status().catch(() => undefined);
    if (status === undefined) break;
    if (status.inProgress !== reported)
      output.progress(`${status.inProgress} requests in progress`);
    reported = status.inProgress;
    await systemClock.sleep(drainPause);
  }
  output.print(asJson ? jsonText({ stopped: true }) : "stopped");
  return ExitCode.Done;
}

export async function reportBurn(
  client: ControlClient,
  html: string | undefined,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const { report, missing } = await client.burn();
  if (html !== undefined) await writeFile(html, burnReportHtml(report));
  output.print(asJson ? jsonText({ report, missing }) : burnReportText(report));
  if (missing.length > 0) output.progress(`without ${missing.join(", ")}, which did not answer`);
  return ExitCode.Done;
}
