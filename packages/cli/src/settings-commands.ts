//! Commands that read and change settings.
import { alignColumns, describeIssues } from "@lovagebend/common";
import { getAtPath, parseTeamDocument, setAtPath, splitPath } from "@lovagebend/settings";
import { readFile } from "node:fs/promises";
import { CommandError, type ControlClient } from "./control-client.js";
import { differences } from "./differences.js";
import { ExitCode } from "./exit-code.js";
import { waitUntilInForce } from "./in-force.js";
import { jsonText, type Output } from "./output.js";

export async function getSettings(
  client: ControlClient,
  path: string,
  output: Output,
): Promise<ExitCode> {
  const { teams } = await client.settings();
  const tree = Object.fromEntries(teams.map(({ team, document }) => [team, document]));
  const parts = path.split("/").filter((part) => part !== "");
  const value = getAtPath(tree, parts);
  if (value === undefined) throw new CommandError(ExitCode.Failed, `nothing stands at ${path}`);
  output.print(jsonText(value));
  return ExitCode.Done;
}

export async function setSetting(
  client: ControlClient,
  path: string,
  value: string,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const split = splitPath(path);
  if (split.isErr) throw new CommandError(ExitCode.Usage, split.error);
  const { team, inner } = split.value;
  const current = await subtree(client, team);
  const document = setAtPath(current.document, inner, parse(value, "the value"));
  const revision = await client.apply(team, document, current.revision);
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
  const current = await subtree(client, team);
  const revision = await client.apply(team, document, current.revision);
  return waitUntilInForce(client, revision, asJson, output);
}

export async function diffFile(
  client: ControlClient,
  team: string,
  file: string,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const current = await subtree(client, team);
  const found = differences(`/${team}`, current.document, await readDocument(file));
  if (asJson) output.print(jsonText(found));
  else for (const { path, from, to } of found) output.print(`${path}: ${from} -> ${to}`);
  return ExitCode.Done;
}

export async function showHistory(
  client: ControlClient,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const changes = await client.history();
  if (asJson) {
    output.print(jsonText(changes));
    return ExitCode.Done;
  }
  const rows = changes.map(({ revision, team, author, time }) => [
    String(revision),
    team,
    author,
    time,
  ]);
  output.print(alignColumns(["revision", "team", "author", "time"], rows));
  return ExitCode.Done;
}

export async function checkFile(file: string, asJson: boolean, output: Output): Promise<ExitCode> {
  const checked = parseTeamDocument(await readDocument(file));
  if (checked.isOk) {
    output.print(asJson ? jsonText({ valid: true, issues: [] }) : `${file} is valid`);
    return ExitCode.Done;
  }
  output.print(
    asJson ? jsonText({ valid: false, issues: checked.error }) : describeIssues(checked.error),
  );
  return ExitCode.Invalid;
}

async function subtree(client: ControlClient, team: string) {
  const { teams } = await client.settings();
  return teams.find((change) => change.team === team) ?? { document: {}, revision: 0 };
}

async function readDocument(file: string): Promise<unknown> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch {
    throw new CommandError(ExitCode.Usage, `${file} cannot be read`);
  }
  return parse(text, file);
}

function parse(text: string, what: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new CommandError(ExitCode.Usage, `${what} is not JSON`);
  }
}
