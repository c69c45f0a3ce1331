//! The demonstration: two small deployments, failures brought about, and every answer
//! checked against the model computed without the router.
import { computeReferenceAnswer } from "@lovagebend/stand-ins";
import { chat, type ChatOutcome } from "./chat-caller.js";
import { deploy, operatorKey, workspaceToken, type Deployment } from "./deployment.js";
import { fetchJson } from "./fetch-json.js";
import { endProcess } from "./processes.js";
import { advisoryShape, writingShape } from "./shapes.js";

const prompt = "which cloth for the outer hull and how long may it cure";
const mostTokens = 60;
const inForcePatience = 7_000;

let failures = 0;

function check(what: string, right: boolean, detail = ""): void {
  if (!right) failures += 1;
  process.stdout.write(
    `  ${right ? "right" : "WRONG"}  ${what}${detail === "" ? "" : ` (${detail})`}\n`,
  );
}

for (const shape of [advisoryShape, writingShape]) {
  process.stdout.write(
    `${shape.name}: three data centres, two entry VMs each, ${shape.engines.length} engines\n`,
  );
  const deployment = await deploy(shape);
  try {
    await streamAnswers(deployment);
    await placeOrder(deployment);
    await killStage(deployment);
    await killEntryVm(deployment);
    await stopGracefully(deployment);
    await changeSetting(deployment);
  } finally {
    await deployment.close();
  }
}
process.stdout.write(failures === 0 ? "all was right\n" : `${failures} checks failed\n`);
process.exitCode = failures === 0 ? 0 : 1;

function ask(
  deployment: Deployment,
  entryVm: number,
  text: string,
  onToken?: (token: number, count: number) => void,
  resume?: { token: string; tokens: readonly number[] },
): Promise<ChatOutcome> {
  const request = {
    port: portOf(deployment, entryVm),
    token: workspaceToken,
    route: deployment.shape.route,
    prompt: text,
    mostTokens,
    ...(resume === undefined ? {} : { resume }),
  };
  return chat(request, onToken);
}

function isRight(deployment: Deployment, text: string, tokens: readonly number[]): boolean {
  const wanted = computeReferenceAnswer(text, deployment.shape.layers, mostTokens);
  return JSON.stringify(wanted) === JSON.stringify(tokens);
}

async function streamAnswers(deployment: Deployment): Promise<void> {
  const begin = performance.now();
  const prompts = deployment.entryVms.map((_, index) => `${prompt} for boat ${index}`);
  const outcomes = await Promise.all(prompts.map((text, index) => ask(deployment, index, text)));
  const right = outcomes.filter(
    ({ tokens, ended }, index) => ended && isRight(deployment, prompts[index] ?? "", tokens),
  );
  const elapsed = Math.round(performance.now() - begin);
  const detail = `${right.length} of ${outcomes.length} in ${elapsed} ms`;
  check("an answer streamed at each entry VM", right.length === outcomes.length, detail);
}

async function placeOrder(deployment: Deployment): Promise<void> {
  const order = (entryVm: number): ReturnType<typeof fetchJson> =>
    fetchJson(
      `http://127.0.0.1:${portOf(deployment, entryVm)}/v1/services/${deployment.shape.service}/bookings`,
      {
        method: "POST",
        key: workspaceToken,
        headers: { "idempotency-key": "order-1" },
        body: { item: "cedar" },
      },
    );
  const first = await order(0);
  const second = await order(3);
  check("an order placed", first.status === 200, JSON.stringify(first.body));
  const same = JSON.stringify(first.body) === JSON.stringify(second.body);
  check("the same key at another entry VM gets the same answer", same);
  const records = await Promise.all(
    deployment.services.map(({ port }) => fetchJson(`http://127.0.0.1:${port}/record`)),
  );
  const ran = records.flatMap(({ body }) => (body as { bookings: string[] }).bookings).length;
  check("the order ran once", ran === 1, `${ran} runs`);
}

async function killStage(deployment: Deployment): Promise<void> {
  let killedAt = 0;
  let nextAt = 0;
  const outcome = await ask(deployment, 1, prompt, (_token, count) => {
    if (count === 20) {
      killedAt = performance.now();
      deployment.engines[2]?.process.child.kill("SIGKILL");
      deployment.engines[5]?.process.child.kill("SIGSTOP");
    } else if (nextAt === 0 && count > 22) nextAt = performance.now();
  });
  deployment.engines[5]?.process.child.kill("SIGCONT");
  const right = outcome.ended && isRight(deployment, prompt, outcome.tokens);
  const detail = `${outcome.tokens.length} tokens, ${Math.round(nextAt - killedAt)} ms to go on`;
  check("an answer went on when one stage died and another froze", right, outcome.error ?? detail);
}

async function killEntryVm(deployment: Deployment): Promise<void> {
  const victim = deployment.entryVms[5];
  if (victim === undefined) return;
  const before = await ask(deployment, 5, prompt, (_token, count) => {
    if (count === 10) victim.process.child.kill("SIGKILL");
  });
  const after = await ask(deployment, 0, prompt, undefined, {
    token: before.resumeToken,
    tokens: before.tokens,
  });
  const tokens = [...before.tokens, ...after.tokens];
  const right = !before.ended && after.ended && isRight(deployment, prompt, tokens);
  const detail = `${before.tokens.length} tokens before, ${after.tokens.length} after`;
  check("an entry VM died and the answer resumed at another", right, after.error ?? detail);
}

async function stopGracefully(deployment: Deployment): Promise<void> {
  const leaving = deployment.entryVms[4];
  if (leaving === undefined) return;
  let stopped: Promise<number | null> | undefined;
  const outcome = await ask(deployment, 4, prompt, (_token, count) => {
    if (count === 5) stopped = endProcess(leaving.process, "SIGTERM");
  });
  const exitCode = await stopped;
  const right = outcome.ended && isRight(deployment, prompt, outcome.tokens);
  check(
    "a stopping entry VM finished its answer",
    right && exitCode === 0,
    `exit code ${exitCode ?? "none"}`,
  );
}

async function changeSetting(deployment: Deployment): Promise<void> {
  const { name } = deployment.shape;
  const control = (index: number): string =>
    `http://127.0.0.1:${deployment.entryVms[index]?.controlPort ?? 0}`;
  const current = await fetchJson(`${control(0)}/v1/settings`, { key: operatorKey });
  const { teams } = current.body as {
    teams: { team: string; revision: number; document: object }[];
  };
  const subtree = teams.find(({ team }) => team === name);
  const document = { ...subtree?.document, limits: { queueMilliseconds: 1_500 } };
  const begin = performance.now();
  const applied = await fetchJson(`${control(0)}/v1/settings/${name}`, {
    method: "PUT",
    key: operatorKey,
    body: { document, baseRevision: subtree?.revision ?? 0 },
  });
  const { revision } = applied.body as { revision: number };
  for (const index of [0, 1, 2, 3]) {
    const entryVm = deployment.entryVms[index];
    const inForce = await awaitRevision(`${control(index)}/v1/status`, revision);
    const detail = `revision ${revision} after ${Math.round(performance.now() - begin)} ms`;
    check(`a changed setting in force at ${entryVm?.name ?? ""}`, inForce, detail);
  }
}

async function awaitRevision(url: string, revision: number): Promise<boolean> {
  const deadline = performance.now() + inForcePatience;
  while (performance.now() < deadline) {
    const status = await fetchJson(url, { key: operatorKey });
    if ((status.body as { revision: number }).revision >= revision) return true;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return false;
}

function portOf(deployment: Deployment, index: number): number {
  return deployment.entryVms[index]?.callerPort ?? 0;
}
