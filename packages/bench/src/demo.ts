//! The command `npm run demo`: starts two small deployments, injects failures and checks every
//! answer against a reference that is computed without the router. Exits with 1 when a check
//! fails.
import { computeReferenceAnswer } from "@lovagebend/stand-ins";
import { chat, type ChatOutcome } from "./chat-caller.js";
import { deploy, operatorKey, workspaceToken, type Deployment } from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { terminateProcess } from "./processes.js";
import { advisorySpec, writingSpec } from "./deployment-specs.js";

const prompt = "which cloth for the outer hull and how long may it cure";
const maximumTokens = 60;
const settingsTimeoutMilliseconds = 7_000;

let failures = 0;

function reportCheck(description: string, hasPassed: boolean, detail = ""): void {
  if (!hasPassed) failures += 1;
  process.stdout.write(
    `  ${hasPassed ? "passed" : "FAILED"}  ${description}${detail === "" ? "" : ` (${detail})`}\n`,
  );
}

for (const spec of [advisorySpec, writingSpec]) {
  process.stdout.write(
    `${spec.name}: three data centres, two entry VMs each, ${spec.engines.length} engines\n`,
  );
  const deployment = await deploy(spec);
  try {
    await streamAnswers(deployment);
    await placeBooking(deployment);
    await killStage(deployment);
    await killEntryVm(deployment);
    await stopGracefully(deployment);
    await changeSettings(deployment);
  } finally {
    await deployment.close();
  }
}
process.stdout.write(failures === 0 ? "all checks passed\n" : `${failures} checks failed\n`);
process.exitCode = failures === 0 ? 0 : 1;

function sendChat(
  deployment: Deployment,
  entryVmIndex: number,
  text: string,
  onToken?: (token: number, count: number) => void,
  resume?: { token: string; tokens: readonly number[] },
): Promise<ChatOutcome> {
  const request = {
    port: getCallerPort(deployment, entryVmIndex),
    bearerToken: workspaceToken,
    route: deployment.spec.route,
    prompt: text,
    maximumTokens,
    ...(resume === undefined ? {} : { resume }),
  };
  return chat(request, onToken);
}

function matchesReference(
  deployment: Deployment,
  text: string,
  tokens: readonly number[],
): boolean {
  const expectedTokens = computeReferenceAnswer(text, deployment.spec.layers, maximumTokens);
  return JSON.stringify(expectedTokens) === JSON.stringify(tokens);
}

async function streamAnswers(deployment: Deployment): Promise<void> {
  const startedAt = performance.now();
  const prompts = deployment.entryVms.map((_, index) => `${prompt} for boat ${index}`);
  const outcomes = await Promise.all(
    prompts.map((text, index) => sendChat(deployment, index, text)),
  );
  const completeOutcomes = outcomes.filter(
    ({ tokens, isComplete }, index) =>
      isComplete && matchesReference(deployment, prompts[index] ?? "", tokens),
  );
  const elapsed = Math.round(performance.now() - startedAt);
  const detail = `${completeOutcomes.length} of ${outcomes.length} in ${elapsed} ms`;
  reportCheck(
    "each entry VM streams a complete answer",
    completeOutcomes.length === outcomes.length,
    detail,
  );
}

async function placeBooking(deployment: Deployment): Promise<void> {
  const sendBooking = (entryVmIndex: number): ReturnType<typeof fetchJson> =>
    fetchJson(
      `http://127.0.0.1:${getCallerPort(deployment, entryVmIndex)}/v1/services/${deployment.spec.service}/bookings`,
      {
        method: "POST",
        bearerToken: workspaceToken,
        headers: { "idempotency-key": "order-1" },
        body: { item: "cedar" },
      },
    );
  const first = await sendBooking(0);
  const second = await sendBooking(3);
  reportCheck("a booking is accepted", first.status === 200, JSON.stringify(first.body));
  const isSameResponse = JSON.stringify(first.body) === JSON.stringify(second.body);
  reportCheck("the same key at another entry VM returns the same answer", isSameResponse);
  const records = await Promise.all(
    deployment.services.map(({ port }) => fetchJson(`http://127.0.0.1:${port}/record`)),
  );
  const runCount = records.flatMap(({ body }) => (body as { bookings: string[] }).bookings).length;
  reportCheck("the booking ran once", runCount === 1, `${runCount} runs`);
}

async function killStage(deployment: Deployment): Promise<void> {
  let killedAt = 0;
  let resumedAt = 0;
  const outcome = await sendChat(deployment, 1, prompt, (_token, count) => {
    if (count === 20) {
      killedAt = performance.now();
      deployment.engines[2]?.process.child.kill("SIGKILL");
      deployment.engines[5]?.process.child.kill("SIGSTOP");
    } else if (resumedAt === 0 && count > 22) resumedAt = performance.now();
  });
  deployment.engines[5]?.process.child.kill("SIGCONT");
  const hasPassed = outcome.isComplete && matchesReference(deployment, prompt, outcome.tokens);
  const detail = `${outcome.tokens.length} tokens, continued after ${Math.round(resumedAt - killedAt)} ms`;
  reportCheck(
    "an answer continues when one engine is killed and another freezes",
    hasPassed,
    outcome.error ?? detail,
  );
}

async function killEntryVm(deployment: Deployment): Promise<void> {
  const killedEntryVm = deployment.entryVms[5];
  if (killedEntryVm === undefined) return;
  const interrupted = await sendChat(deployment, 5, prompt, (_token, count) => {
    if (count === 10) killedEntryVm.process.child.kill("SIGKILL");
  });
  const resumed = await sendChat(deployment, 0, prompt, undefined, {
    token: interrupted.resumeToken,
    tokens: interrupted.tokens,
  });
  const tokens = [...interrupted.tokens, ...resumed.tokens];
  const hasPassed =
    !interrupted.isComplete && resumed.isComplete && matchesReference(deployment, prompt, tokens);
  const detail = `${interrupted.tokens.length} tokens before, ${resumed.tokens.length} after`;
  reportCheck(
    "an answer resumes at another entry VM when its entry VM is killed",
    hasPassed,
    resumed.error ?? detail,
  );
}

async function stopGracefully(deployment: Deployment): Promise<void> {
  const stoppingEntryVm = deployment.entryVms[4];
  if (stoppingEntryVm === undefined) return;
  let stopped: Promise<number | null> | undefined;
  const outcome = await sendChat(deployment, 4, prompt, (_token, count) => {
    if (count === 5) stopped = terminateProcess(stoppingEntryVm.process, "SIGTERM");
  });
  const exitCode = await stopped;
  const hasPassed = outcome.isComplete && matchesReference(deployment, prompt, outcome.tokens);
  reportCheck(
    "a stopping entry VM completes its open answer",
    hasPassed && exitCode === 0,
    `exit code ${exitCode ?? "none"}`,
  );
}

async function changeSettings(deployment: Deployment): Promise<void> {
  const { name } = deployment.spec;
  const getControlUrl = (index: number): string =>
    `http://127.0.0.1:${deployment.entryVms[index]?.controlPort ?? 0}`;
  const current = await fetchJson(`${getControlUrl(0)}/v1/settings`, { bearerToken: operatorKey });
  const { teams } = current.body as {
    teams: { team: string; revision: number; document: object }[];
  };
  const teamSettings = teams.find(({ team }) => team === name);
  const document = { ...teamSettings?.document, limits: { queueMilliseconds: 1_500 } };
  const startedAt = performance.now();
  const applied = await fetchJson(`${getControlUrl(0)}/v1/settings/${name}`, {
    method: "PUT",
    bearerToken: operatorKey,
    body: { document, baseRevision: teamSettings?.revision ?? 0 },
  });
  const { revision } = applied.body as { revision: number };
  for (const index of [0, 1, 2, 3]) {
    const entryVm = deployment.entryVms[index];
    const isInForce = await waitForRevision(`${getControlUrl(index)}/v1/status`, revision);
    const detail = `revision ${revision} after ${Math.round(performance.now() - startedAt)} ms`;
    reportCheck(`the changed setting is in force at ${entryVm?.name ?? ""}`, isInForce, detail);
  }
}

async function waitForRevision(url: string, revision: number): Promise<boolean> {
  const deadline = performance.now() + settingsTimeoutMilliseconds;
  while (performance.now() < deadline) {
    const status = await fetchJson(url, { bearerToken: operatorKey });
    if ((status.body as { revision: number }).revision >= revision) return true;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return false;
}

function getCallerPort(deployment: Deployment, index: number): number {
  return deployment.entryVms[index]?.callerPort ?? 0;
}
