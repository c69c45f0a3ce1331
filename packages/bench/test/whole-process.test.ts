//! End-to-end tests of behaviour that needs real processes: killed and frozen processes, silent
//! connections and planned stops. No assertion depends on time.
import { checkAnswer, type LayerRun } from "@lovagebend/exploration";
import { computeReferenceAnswer, tokenize } from "@lovagebend/stand-ins";
import t from "tap";
import { chat, type ChatOutcome } from "../src/chat-caller.js";
import {
  deploy,
  operatorKey,
  restartEntryVm,
  workspaceToken,
  type Deployment,
} from "../src/deployment.js";
import { fetchJson } from "../src/fetch-json.js";
import { terminateProcess } from "../src/processes.js";
import { writingSpec } from "../src/deployment-specs.js";

const maximumTokens = 40;
const spec = { ...writingSpec, entryVmsPerDataCentre: 1 };

function sendChat(
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

function submitBooking(
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

function configureStandIn(port: number, body: object) {
  return fetchJson(`http://127.0.0.1:${port}/control`, { method: "POST", body });
}

async function countBookingRuns(deployment: Deployment, idempotencyKey: string): Promise<number> {
  const records = await Promise.all(
    deployment.services.map(({ port }) => fetchJson(`http://127.0.0.1:${port}/record`)),
  );
  const bookings = records.flatMap(({ body }) => (body as { bookings: string[] }).bookings);
  return bookings.filter((item) => item === idempotencyKey).length;
}

/// Checks an answer's tokens against the reference, and the layers that the engines ran against
/// the tokens. Needs all engines running: a killed engine leaves no record of its layers, and
/// the tokens are compared directly in that case.
async function findViolations(
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

t.test("with a proxy in front of each engine", async (t) => {
  const deployment = await deploy(spec, true);
  t.teardown(() => deployment.close());

  t.test("without failures, each layer runs once for every token", async (t) => {
    const prompt = "a care leaflet for opal shades";
    const outcome = await sendChat(deployment, 0, prompt);
    t.ok(outcome.isComplete, outcome.error ?? "the answer is complete");
    t.same(await findViolations(deployment, prompt, outcome.tokens, [getRequestId(outcome)]), []);
  });

  t.test(
    "an answer completes when open connections go silent for good and new ones work",
    async (t) => {
      const prompt = "a quote for twelve shades";
      const outcome = await sendChat(deployment, 1, prompt, (_token, count) => {
        if (count === 10)
          for (const { proxy } of deployment.engines) proxy?.silenceOpenConnections();
      });
      t.ok(outcome.isComplete, outcome.error ?? "the answer is complete");
      t.same(await findViolations(deployment, prompt, outcome.tokens, [getRequestId(outcome)]), []);
    },
  );

  t.test("an answer completes when an engine freezes, is replaced and responds late", async (t) => {
    const prompt = "an export note for the northern shops";
    const stageReplicas = deployment.engines.slice(2, 4);
    const outcome = await sendChat(deployment, 2, prompt, (_token, count) => {
      if (count === 10) stageReplicas[0]?.process.child.kill("SIGSTOP");
      if (count === 30) stageReplicas[0]?.process.child.kill("SIGCONT");
    });
    stageReplicas[0]?.process.child.kill("SIGCONT");
    t.ok(outcome.isComplete, outcome.error ?? "the answer is complete");
    t.same(await findViolations(deployment, prompt, outcome.tokens, [getRequestId(outcome)]), []);
  });

  t.test("an answer completes when the engines lose their sequence caches", async (t) => {
    const prompt = "which rods are in stock";
    const outcome = await sendChat(deployment, 0, prompt, (_token, count) => {
      if (count === 10) {
        for (const { directPort } of deployment.engines)
          void configureStandIn(directPort, { forgetSequences: true });
      }
    });
    t.ok(outcome.isComplete, outcome.error ?? "the answer is complete");
    t.same(await findViolations(deployment, prompt, outcome.tokens, [getRequestId(outcome)]), []);
  });

  t.test(
    "a booking whose answer is lost has an unknown outcome and never runs again",
    async (t) => {
      for (const { port } of deployment.services)
        await configureStandIn(port, { answersToLose: 1 });
      const first = await submitBooking(deployment, 0, "kiln-lost");
      t.equal(getRunState(first.body), "unknown");
      for (const { port } of deployment.services)
        await configureStandIn(port, { answersToLose: 0 });
      const second = await submitBooking(deployment, 1, "kiln-lost");
      t.equal(getRunState(second.body), "unknown");
      t.equal(await countBookingRuns(deployment, "kiln-lost"), 1);
    },
  );

  t.test("a booking runs once when the platform loses the answer to its claim", async (t) => {
    await configureStandIn(deployment.platform.readyMessage.port ?? 0, { answersToLose: 1 });
    const first = await submitBooking(deployment, 0, "kiln-claim");
    t.equal(first.status, 200);
    const second = await submitBooking(deployment, 2, "kiln-claim");
    t.same(second.body, first.body);
    t.equal(await countBookingRuns(deployment, "kiln-claim"), 1);
  });

  t.test("a booking runs once when three entry VMs receive its key concurrently", async (t) => {
    const answers = await Promise.all(
      [0, 1, 2].map((entryVmIndex) => submitBooking(deployment, entryVmIndex, "kiln-race")),
    );
    t.equal(await countBookingRuns(deployment, "kiln-race"), 1);
    t.ok(answers.some(({ status }) => status === 200));
    for (const { status, body } of answers) {
      if (status !== 200) t.equal(getRunState(body), "unknown");
    }
  });

  t.test(
    "during an outage of the platform, only a first attempt that has not run gets not_run",
    async (t) => {
      const platform = deployment.platform.readyMessage.port ?? 0;
      await configureStandIn(platform, { outage: true });
      const first = await submitBooking(deployment, 0, "kiln-out", {
        "lovagebend-first-attempt": "true",
      });
      const unmarked = await submitBooking(deployment, 1, "kiln-out-2");
      await configureStandIn(platform, { outage: false });
      t.equal(getRunState(first.body), "not_run");
      t.equal(getRunState(unmarked.body), "unknown");
      t.equal(await countBookingRuns(deployment, "kiln-out"), 0);
      const again = await submitBooking(deployment, 2, "kiln-out");
      t.equal(again.status, 200);
      t.equal(await countBookingRuns(deployment, "kiln-out"), 1);
    },
  );
});

t.test("planned stops", async (t) => {
  const deployment = await deploy(spec);
  t.teardown(() => deployment.close());
  const prompt = "a long draft about opal glass";

  t.test("a planned stop waits until open answers are complete", async (t) => {
    const [entryVm] = deployment.entryVms;
    if (entryVm === undefined) return;
    const exitCodes: Promise<number | null>[] = [];
    const outcome = await sendChat(deployment, 0, prompt, (_token, count) => {
      if (count === 3) exitCodes.push(terminateProcess(entryVm.process, "SIGTERM"));
    });
    t.ok(outcome.isComplete, outcome.error ?? "the answer is complete");
    t.same(outcome.tokens, computeReferenceAnswer(prompt, spec.layers, maximumTokens));
    t.same(await Promise.all(exitCodes), [0]);
    await restartEntryVm(deployment, entryVm);
  });

  t.test(
    "answers complete when two entry VMs stop concurrently and an engine is killed",
    async (t) => {
      const stoppingEntryVms = deployment.entryVms.slice(1, 3);
      const exitCodes: Promise<number | null>[] = [];
      const onToken = (_token: number, count: number): void => {
        if (count !== 3 || exitCodes.length > 0) return;
        for (const { process } of stoppingEntryVms)
          exitCodes.push(terminateProcess(process, "SIGTERM"));
        deployment.engines[0]?.process.child.kill("SIGKILL");
      };
      const outcomes = await Promise.all([
        sendChat(deployment, 1, prompt, onToken),
        sendChat(deployment, 2, prompt),
      ]);
      for (const outcome of outcomes) {
        t.ok(outcome.isComplete, outcome.error ?? "the answer is complete");
        t.same(outcome.tokens, computeReferenceAnswer(prompt, spec.layers, maximumTokens));
      }
      t.same(await Promise.all(exitCodes), [0, 0]);
      for (const entryVm of stoppingEntryVms) await restartEntryVm(deployment, entryVm);
    },
  );

  t.test(
    "a planned stop waits for a booking in progress and the record of its outcome",
    async (t) => {
      const [entryVm] = deployment.entryVms;
      if (entryVm === undefined) return;
      for (const { port } of deployment.services)
        await configureStandIn(port, { answerDelay: 800 });
      const booking = submitBooking(deployment, 0, "kiln-stop");
      await waitUntilBooked(deployment, "kiln-stop");
      const exitCode = await terminateProcess(entryVm.process, "SIGTERM");
      const answer = await booking;
      t.equal(exitCode, 0);
      t.equal(answer.status, 200);
      const again = await submitBooking(deployment, 1, "kiln-stop");
      t.same(again.body, answer.body);
      t.equal(await countBookingRuns(deployment, "kiln-stop"), 1);
      for (const { port } of deployment.services) await configureStandIn(port, { answerDelay: 0 });
      await restartEntryVm(deployment, entryVm);
    },
  );

  t.test("a second signal interrupts an answer, which resumes at another entry VM", async (t) => {
    const entryVm = deployment.entryVms[1];
    if (entryVm === undefined) return;
    const exitCodes: Promise<number | null>[] = [];
    await setSlowness(deployment, 300);
    let extraSignals = 0;
    const interrupted = await sendChat(deployment, 1, prompt, (_token, count) => {
      const hasLoggedStopping = entryVm.process.logLines.some((line) =>
        line.includes('"event":"stopping"'),
      );
      if (count === 3) exitCodes.push(terminateProcess(entryVm.process, "SIGTERM"));
      // Two pending signals of one kind are delivered as one, so the second is sent after the
      // daemon has logged the first.
      if (hasLoggedStopping && extraSignals === 0)
        extraSignals += Number(entryVm.process.child.kill("SIGTERM"));
    });
    await setSlowness(deployment, 1);
    t.notOk(interrupted.isComplete);
    t.match(interrupted.error ?? "", /answer_interrupted/);
    t.same(await Promise.all(exitCodes), [3]);
    const resumed = await sendChat(deployment, 2, prompt, undefined, {
      token: interrupted.resumeToken,
      tokens: interrupted.tokens,
    });
    t.same(
      [...interrupted.tokens, ...resumed.tokens],
      computeReferenceAnswer(prompt, spec.layers, maximumTokens),
    );
    await restartEntryVm(deployment, entryVm);
  });

  t.test(
    "an entry VM replaced during an outage of the platform gets the settings from its peers",
    async (t) => {
      const entryVm = deployment.entryVms[2];
      if (entryVm === undefined) return;
      await configureStandIn(deployment.platform.readyMessage.port ?? 0, { outage: true });
      await terminateProcess(entryVm.process, "SIGKILL");
      await restartEntryVm(deployment, entryVm);
      const revision = await waitForRevision(entryVm.controlPort, 1);
      t.equal(revision, 1);
      const outcome = await retryUntilComplete(deployment, 2, prompt);
      t.same(outcome.tokens, computeReferenceAnswer(prompt, spec.layers, maximumTokens));
      await configureStandIn(deployment.platform.readyMessage.port ?? 0, { outage: false });
    },
  );
});

async function setSlowness(deployment: Deployment, slowness: number): Promise<void> {
  const livingEngines = deployment.engines.filter(
    ({ process }) => process.child.signalCode === null,
  );
  await Promise.all(
    livingEngines.map(({ directPort }) => configureStandIn(directPort, { slowness })),
  );
}

function getRequestId(outcome: ChatOutcome): string {
  return outcome.resumeToken.split(".")[0] ?? "";
}

function getRunState(body: unknown): string | undefined {
  return (body as { error?: { run: string } }).error?.run;
}

async function waitUntilBooked(deployment: Deployment, idempotencyKey: string): Promise<void> {
  while ((await countBookingRuns(deployment, idempotencyKey)) === 0) await waitBeforePolling();
}

async function waitForRevision(controlPort: number, minimumRevision: number): Promise<number> {
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
async function retryUntilComplete(
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

function waitBeforePolling(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}
