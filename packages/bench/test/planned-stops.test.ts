//! End-to-end tests of planned stops, and of entry VMs that are replaced, as real processes. No
//! assertion depends on time.
import { computeReferenceAnswer } from "@lovagebend/stand-ins";
import t from "tap";
import { deploy, restartEntryVm } from "../src/deployment.js";
import { terminateProcess } from "../src/processes.js";
import {
  configureStandIn,
  countBookingRuns,
  maximumTokens,
  retryUntilComplete,
  sendChat,
  setSlowness,
  spec,
  submitBooking,
  waitForRevision,
  waitUntilBooked,
} from "./deployment-fixture.js";

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
