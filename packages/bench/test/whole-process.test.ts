//! What only real processes show: kills, freezes by signal, silent connections and
//! planned stops. No assertion is about time.
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
import { endProcess } from "../src/processes.js";
import { writingShape } from "../src/shapes.js";

const mostTokens = 40;
const shape = { ...writingShape, entryVmsPerDataCentre: 1 };

function ask(
  deployment: Deployment,
  entryVm: number,
  prompt: string,
  onToken?: (token: number, count: number) => void,
  resume?: { token: string; tokens: readonly number[] },
): Promise<ChatOutcome> {
  const port = deployment.entryVms[entryVm]?.callerPort ?? 0;
  const request = { port, token: workspaceToken, route: shape.route, prompt, mostTokens };
  return chat(resume === undefined ? request : { ...request, resume }, onToken);
}

function book(deployment: Deployment, entryVm: number, key: string, headers = {}) {
  const port = deployment.entryVms[entryVm]?.callerPort ?? 0;
  return fetchJson(`http://127.0.0.1:${port}/v1/services/${shape.service}/bookings`, {
    method: "POST",
    key: workspaceToken,
    headers: { "idempotency-key": key, ...headers },
    body: { item: key },
  });
}

function control(port: number, body: object) {
  return fetchJson(`http://127.0.0.1:${port}/control`, { method: "POST", body });
}

async function bookingsOf(deployment: Deployment, key: string): Promise<number> {
  const records = await Promise.all(
    deployment.services.map(({ port }) => fetchJson(`http://127.0.0.1:${port}/record`)),
  );
  const ran = records.flatMap(({ body }) => (body as { bookings: string[] }).bookings);
  return ran.filter((item) => item === key).length;
}

/// Judges an answer by what the living engines ran. Layers of engines that were killed
/// left no record, so only the tokens are judged then.
async function judge(
  deployment: Deployment,
  prompt: string,
  tokens: readonly number[],
  requests: readonly string[],
): Promise<string[]> {
  const records = await Promise.all(
    deployment.engines.map(({ ownPort }) => fetchJson(`http://127.0.0.1:${ownPort}/record`)),
  );
  const all = records.flatMap(({ body }) => (body as { runs: LayerRun[] }).runs);
  const runs = all.filter(({ sequence }) =>
    requests.some((request) => sequence.startsWith(request)),
  );
  const wanted = computeReferenceAnswer(prompt, shape.layers, mostTokens);
  const positions = tokenize(prompt).length + tokens.length - 1;
  return checkAnswer(tokens, wanted, true, runs, positions, shape.layers);
}

t.test("with relays before the engines", async (t) => {
  const deployment = await deploy(shape, true);
  t.teardown(() => deployment.close());

  t.test("an undisturbed answer: each layer ran once for every token", async (t) => {
    const prompt = "a care leaflet for opal shades";
    const outcome = await ask(deployment, 0, prompt);
    t.ok(outcome.ended, outcome.error ?? "whole");
    t.same(await judge(deployment, prompt, outcome.tokens, [requestOf(outcome)]), []);
  });

  t.test("open connections go silent for good while new ones work", async (t) => {
    const prompt = "a quote for twelve shades";
    const outcome = await ask(deployment, 1, prompt, (_token, count) => {
      if (count === 10) for (const { relay } of deployment.engines) relay?.silenceOpen();
    });
    t.ok(outcome.ended, outcome.error ?? "whole");
    t.same(await judge(deployment, prompt, outcome.tokens, [requestOf(outcome)]), []);
  });

  t.test("an engine freezes, is replaced, and answers late when it wakes", async (t) => {
    const prompt = "an export note for the northern shops";
    const frozen = deployment.engines.slice(2, 4);
    const outcome = await ask(deployment, 2, prompt, (_token, count) => {
      if (count === 10) frozen[0]?.process.child.kill("SIGSTOP");
      if (count === 30) frozen[0]?.process.child.kill("SIGCONT");
    });
    frozen[0]?.process.child.kill("SIGCONT");
    t.ok(outcome.ended, outcome.error ?? "whole");
    t.same(await judge(deployment, prompt, outcome.tokens, [requestOf(outcome)]), []);
  });

  t.test("an engine forgets its caches", async (t) => {
    const prompt = "which rods are in stock";
    const outcome = await ask(deployment, 0, prompt, (_token, count) => {
      if (count === 10) {
        for (const { ownPort } of deployment.engines)
          void control(ownPort, { forgetSequences: true });
      }
    });
    t.ok(outcome.ended, outcome.error ?? "whole");
    t.same(await judge(deployment, prompt, outcome.tokens, [requestOf(outcome)]), []);
  });

  t.test("a booking's answer is lost: unknown, never run again", async (t) => {
    for (const { port } of deployment.services) await control(port, { answersToLose: 1 });
    const first = await book(deployment, 0, "kiln-lost");
    t.equal(runOf(first.body), "unknown");
    for (const { port } of deployment.services) await control(port, { answersToLose: 0 });
    const second = await book(deployment, 1, "kiln-lost");
    t.equal(runOf(second.body), "unknown");
    t.equal(await bookingsOf(deployment, "kiln-lost"), 1);
  });

  t.test("the platform loses the answer to a claim: the booking runs once", async (t) => {
    await control(deployment.platform.ready.port ?? 0, { answersToLose: 1 });
    const first = await book(deployment, 0, "kiln-claim");
    t.equal(first.status, 200);
    const second = await book(deployment, 2, "kiln-claim");
    t.same(second.body, first.body);
    t.equal(await bookingsOf(deployment, "kiln-claim"), 1);
  });

  t.test("the same key at three entry VMs at once runs once", async (t) => {
    const answers = await Promise.all(
      [0, 1, 2].map((entryVm) => book(deployment, entryVm, "kiln-race")),
    );
    t.equal(await bookingsOf(deployment, "kiln-race"), 1);
    t.ok(answers.some(({ status }) => status === 200));
    for (const { status, body } of answers) {
      if (status !== 200) t.equal(runOf(body), "unknown");
    }
  });

  t.test("the platform is out: not run is said only where it is true", async (t) => {
    const platform = deployment.platform.ready.port ?? 0;
    await control(platform, { outage: true });
    const first = await book(deployment, 0, "kiln-out", { "lovagebend-first-attempt": "true" });
    const unmarked = await book(deployment, 1, "kiln-out-2");
    await control(platform, { outage: false });
    t.equal(runOf(first.body), "not_run");
    t.equal(runOf(unmarked.body), "unknown");
    t.equal(await bookingsOf(deployment, "kiln-out"), 0);
    const again = await book(deployment, 2, "kiln-out");
    t.equal(again.status, 200);
    t.equal(await bookingsOf(deployment, "kiln-out"), 1);
  });
});

t.test("planned stops", async (t) => {
  const deployment = await deploy(shape);
  t.teardown(() => deployment.close());
  const prompt = "a long draft about opal glass";

  t.test("a stop cuts off no answer", async (t) => {
    const [entryVm] = deployment.entryVms;
    if (entryVm === undefined) return;
    const stopped: Promise<number | null>[] = [];
    const outcome = await ask(deployment, 0, prompt, (_token, count) => {
      if (count === 3) stopped.push(endProcess(entryVm.process, "SIGTERM"));
    });
    t.ok(outcome.ended, outcome.error ?? "whole");
    t.same(outcome.tokens, computeReferenceAnswer(prompt, shape.layers, mostTokens));
    t.same(await Promise.all(stopped), [0]);
    await restartEntryVm(deployment, entryVm);
  });

  t.test("two stop at once, and an engine dies meanwhile", async (t) => {
    const stopping = deployment.entryVms.slice(1, 3);
    const stopped: Promise<number | null>[] = [];
    const onToken = (_token: number, count: number): void => {
      if (count !== 3 || stopped.length > 0) return;
      for (const { process } of stopping) stopped.push(endProcess(process, "SIGTERM"));
      deployment.engines[0]?.process.child.kill("SIGKILL");
    };
    const outcomes = await Promise.all([
      ask(deployment, 1, prompt, onToken),
      ask(deployment, 2, prompt),
    ]);
    for (const outcome of outcomes) {
      t.ok(outcome.ended, outcome.error ?? "whole");
      t.same(outcome.tokens, computeReferenceAnswer(prompt, shape.layers, mostTokens));
    }
    t.same(await Promise.all(stopped), [0, 0]);
    for (const entryVm of stopping) await restartEntryVm(deployment, entryVm);
  });

  t.test("a stop waits for a booking under way and its verdict", async (t) => {
    const [entryVm] = deployment.entryVms;
    if (entryVm === undefined) return;
    for (const { port } of deployment.services) await control(port, { answerDelay: 800 });
    const booking = book(deployment, 0, "kiln-stop");
    await untilBooked(deployment, "kiln-stop");
    const exitCode = await endProcess(entryVm.process, "SIGTERM");
    const answer = await booking;
    t.equal(exitCode, 0);
    t.equal(answer.status, 200);
    const again = await book(deployment, 1, "kiln-stop");
    t.same(again.body, answer.body);
    t.equal(await bookingsOf(deployment, "kiln-stop"), 1);
    for (const { port } of deployment.services) await control(port, { answerDelay: 0 });
    await restartEntryVm(deployment, entryVm);
  });

  t.test("a second signal cuts off, and the answer resumes at another entry VM", async (t) => {
    const entryVm = deployment.entryVms[1];
    if (entryVm === undefined) return;
    const stopped: Promise<number | null>[] = [];
    await slowDown(deployment, 300);
    let signals = 0;
    const before = await ask(deployment, 1, prompt, (_token, count) => {
      const seen = entryVm.process.log.some((line) => line.includes('"event":"stopping"'));
      if (count === 3) stopped.push(endProcess(entryVm.process, "SIGTERM"));
      // Two signals at once are one; the second goes out when the first was seen.
      if (seen && signals === 0) signals += Number(entryVm.process.child.kill("SIGTERM"));
    });
    await slowDown(deployment, 1);
    t.notOk(before.ended);
    t.match(before.error ?? "", /answer_interrupted/);
    t.same(await Promise.all(stopped), [3]);
    const after = await ask(deployment, 2, prompt, undefined, {
      token: before.resumeToken,
      tokens: before.tokens,
    });
    t.same(
      [...before.tokens, ...after.tokens],
      computeReferenceAnswer(prompt, shape.layers, mostTokens),
    );
    await restartEntryVm(deployment, entryVm);
  });

  t.test(
    "an entry VM is replaced while the platform is out and learns from its peers",
    async (t) => {
      const entryVm = deployment.entryVms[2];
      if (entryVm === undefined) return;
      await control(deployment.platform.ready.port ?? 0, { outage: true });
      await endProcess(entryVm.process, "SIGKILL");
      await restartEntryVm(deployment, entryVm);
      const revision = await untilRevision(entryVm.controlPort, 1);
      t.equal(revision, 1);
      const outcome = await untilAnswered(deployment, 2, prompt);
      t.same(outcome.tokens, computeReferenceAnswer(prompt, shape.layers, mostTokens));
      await control(deployment.platform.ready.port ?? 0, { outage: false });
    },
  );
});

async function slowDown(deployment: Deployment, slowness: number): Promise<void> {
  const living = deployment.engines.filter(({ process }) => process.child.signalCode === null);
  await Promise.all(living.map(({ ownPort }) => control(ownPort, { slowness })));
}

function requestOf(outcome: ChatOutcome): string {
  return outcome.resumeToken.split(".")[0] ?? "";
}

function runOf(body: unknown): string | undefined {
  return (body as { error?: { run: string } }).error?.run;
}

async function untilBooked(deployment: Deployment, key: string): Promise<void> {
  while ((await bookingsOf(deployment, key)) === 0) await pause();
}

async function untilRevision(controlPort: number, wanted: number): Promise<number> {
  for (;;) {
    const { body } = await fetchJson(`http://127.0.0.1:${controlPort}/v1/status`, {
      key: operatorKey,
    });
    const { revision } = body as { revision: number };
    if (revision >= wanted) return revision;
    await pause();
  }
}

// A new entry VM refuses honestly until it has heard of its targets.
async function untilAnswered(
  deployment: Deployment,
  entryVm: number,
  prompt: string,
): Promise<ChatOutcome> {
  for (;;) {
    const outcome = await ask(deployment, entryVm, prompt);
    if (outcome.ended) return outcome;
    await pause();
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}
