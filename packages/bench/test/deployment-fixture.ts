//! What the end-to-end tests with real processes share: calls of callers, settings of the stand-ins,
//! and what the targets have run.
import { checkAnswer, type LayerRun } from "@lovagebend/exploration";
import { computeReferenceAnswer, tokenize } from "@lovagebend/stand-ins";
import { chat, type ChatOutcome } from "../src/chat-caller.js";
import { operatorKey, workspaceToken, type Deployment } from "../src/deployment.js";
import { writingSpec } from "../src/deployment-specs.js";
import { fetchJson } from "../src/fetch-json.js";

export const maximumTokens = 40;
export const spec = { ...writingSpec, entryVmsPerDataCentre: 1 };

export function sendChat(
  deployment: Deployment,
  entryVmIndex: number,
  prompt: string,
  onToken?: (token: number, count: number) => void,
  resume?: { token: string; tokens: readonly number[] },
): Promise<ChatOutcome> {
  const port = deployment.entryVms[entryVmIndex]?.callerPort ?? 0;
  const request = { port, bearerToken: workspaceToken, route: spec.route, prompt, maximumTokens };
  return chat(resume === undefined ? request : { ...request, resume }, onToken);
}

export function submitBooking(
  deployment: Deployment,
  entryVmIndex: number,
  idempotencyKey: string,
  headers = {},
) {
  const port = deployment.entryVms[entryVmIndex]?.callerPort ?? 0;
  return fetchJson(`http://127.0.0.1:${port}/v1/services/${spec.service}/bookings`, {
    method: "POST",
    bearerToken: workspaceToken,
    headers: { "idempotency-key": idempotencyKey, ...headers },
    body: { item: idempotencyKey },
  });
}

export function configureStandIn(port: number, body: object) {
  return fetchJson(`http://127.0.0.1:${port}/control`, { method: "POST", body });
}

export async function countBookingRuns(
  deployment: Deployment,
  idempotencyKey: string,
): Promise<number> {
  const records = await Promise.all(
    deployment.services.map(({ port }) => fetchJson(`http://127.0.0.1:${port}/record`)),
  );
  const bookings = records.flatMap(({ body }) => (body as { bookings: string[] }).bookings);
  return bookings.filter((item) => item === idempotencyKey).length;
}

/// Checks an answer's tokens against the reference, and the layers that the engines ran against
/// the tokens. Needs all engines running: a killed engine leaves no record of its layers, and
/// the tokens are compared directly in that case.
export async function findViolations(
  deployment: Deployment,
  prompt: string,
  tokens: readonly number[],
  requestIds: readonly string[],
): Promise<string[]> {
  const records = await Promise.all(
    deployment.engines.map(({ directPort }) => fetchJson(`http://127.0.0.1:${directPort}/record`)),
  );
  const allRuns = records.flatMap(({ body }) => (body as { runs: LayerRun[] }).runs);
  const runs = allRuns.filter(({ sequence }) =>
    requestIds.some((requestId) => sequence.startsWith(requestId)),
  );
  const expectedTokens = computeReferenceAnswer(prompt, spec.layers, maximumTokens);
  const positions = tokenize(prompt).length + tokens.length - 1;
  return checkAnswer(tokens, expectedTokens, true, runs, positions, spec.layers);
}

export async function setSlowness(deployment: Deployment, slowness: number): Promise<void> {
  const livingEngines = deployment.engines.filter(
    ({ process }) => process.child.signalCode === null,
  );
  await Promise.all(
    livingEngines.map(({ directPort }) => configureStandIn(directPort, { slowness })),
  );
}

export function getRequestId(outcome: ChatOutcome): string {
  return outcome.resumeToken.split(".")[0] ?? "";
}

export function getRunState(body: unknown): string | undefined {
  return (body as { error?: { run: string } }).error?.run;
}

export async function waitUntilBooked(
  deployment: Deployment,
  idempotencyKey: string,
): Promise<void> {
  while ((await countBookingRuns(deployment, idempotencyKey)) === 0) await waitBeforePolling();
}

export async function waitForRevision(
  controlPort: number,
  minimumRevision: number,
): Promise<number> {
  for (;;) {
    const { body } = await fetchJson(`http://127.0.0.1:${controlPort}/v1/status`, {
      bearerToken: operatorKey,
    });
    const { revision } = body as { revision: number };
    if (revision >= minimumRevision) return revision;
    await waitBeforePolling();
  }
}

// A new entry VM refuses requests until it knows the state of its targets.
export async function retryUntilComplete(
  deployment: Deployment,
  entryVmIndex: number,
  prompt: string,
): Promise<ChatOutcome> {
  for (;;) {
    const outcome = await sendChat(deployment, entryVmIndex, prompt);
    if (outcome.isComplete) return outcome;
    await waitBeforePolling();
  }
}

export function waitBeforePolling(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}
