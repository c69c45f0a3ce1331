//! End-to-end tests of behaviour that needs real processes: frozen processes, silent connections,
//! lost caches and lost answers. No assertion depends on time.
import t from "tap";
import { deploy } from "../src/deployment.js";
import {
  configureStandIn,
  countBookingRuns,
  findViolations,
  getRequestId,
  getRunState,
  sendChat,
  spec,
  submitBooking,
} from "./deployment-fixture.js";

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
