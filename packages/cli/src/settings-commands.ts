//! The commands that read, compare, validate and change settings.
import { alignColumns, describeIssues } from "@lovagebend/common";
import { getAtPath, parseTeamDocument, setAtPath, splitPath } from "@lovagebend/settings";
import { readFile } from "node:fs/promises";
import { CommandError, type ControlClient } from "./control-client.js";
import { findDifferences } from "./differences.js";
import { ExitCode } from "./exit-code.js";
import { waitUntilInForce } from "./in-force.js";
import { formatJson, type Output } from "./output.js";

export async function getSettings(
  client: ControlClient,
  path: string,
  output: Output,
): Promise<ExitCode> {
  const { teams } = await client.fetchSettings();
  const tree = Object.fromEntries(teams.map(({ team, document }) => [team, document]));
  const segments = path.split("/").filter((part) => part !== "");
  const value = getAtPath(tree, segments);
  if (value === undefined) throw new CommandError(ExitCode.Failure, `no setting at ${path}`);
  output.print(formatJson(value));
  return ExitCode.Success;
}

export async function setSetting(
  client: ControlClient,
  path: string,
  value: string,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const splitResult = splitPath(path);
  if (splitResult.isErr) throw new CommandError(ExitCode.UsageError, splitResult.error);
  const { team, segments } = splitResult.value;
  const current = await fetchSubtree(client, team);
  const document = setAtPath(current.document, segments, parseJsonText(value, "the value"));
  const revision = await client.applySettings(team, document, current.revision);
  return waitUntilInForce(client, revision, asJson, output);
}

export async function applyFile(
  client: ControlClient,
  team: string,
  file: string,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const document = await readDocument(file);
  const current = await fetchSubtree(client, team);
  const revision = await client.applySettings(team, document, current.revision);
  return waitUntilInForce(client, revision, asJson, output);
}

export async function diffFile(
  client: ControlClient,
  team: string,
  file: string,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const current = await fetchSubtree(client, team);
  const changes = findDifferences(`/${team}`, current.document, await readDocument(file));
  if (asJson) output.print(formatJson(changes));
  else for (const { path, from, to } of changes) output.print(`${path}: ${from} -> ${to}`);
  return ExitCode.Success;
}

export async function showHistory(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const changes = await client.fetchHistory();
  if (asJson) {
    output.print(formatJson(changes));
    return ExitCode.Success;
  }
  const rows = changes.map(({ revision, team, author, time }) => [
    String(revision),
    team,
    author,
    time,
  ]);
  output.print(alignColumns(["revision", "team", "author", "time"], rows));
  return ExitCode.Success;
}

export async function checkFile(file: string, asJson: boolean, output: Output): Promise<ExitCode> {
  const validated = parseTeamDocument(await readDocument(file));
  if (validated.isOk) {
    output.print(asJson ? formatJson({ valid: true, issues: [] }) : `${file} is valid`);
    return ExitCode.Success;
  }
  output.print(
    asJson
      ? formatJson({ valid: false, issues: validated.error })
      : describeIssues(validated.error),
  );
  return ExitCode.SettingsInvalid;
}

async function fetchSubtree(client: ControlClient, team: string) {
  const { teams } = await client.fetchSettings();
  return teams.find((change) => change.team === team) ?? { document: {}, revision: 0 };
}

async function readDocument(file: string): Promise<unknown> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch {
    throw new CommandError(ExitCode.UsageError, `cannot read ${file}`);
  }
  return parseJsonText(text, file);
}

function parseJsonText(text: string, source: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new CommandError(ExitCode.UsageError, `${source} is not valid JSON`);
  }
}
