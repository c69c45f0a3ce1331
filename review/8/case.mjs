// An entry VM is killed while it passes on streams, a few of which have no length.
import {
  formatRequest,
  hasTrouble,
  operatorDocument,
  Replica,
  send,
  sleep,
  Stage,
} from "../lib-2/stage.mjs";

const events = 40;
const eventPause = 50;
const streams = 40;
// One stream in 20 of one engine of three has no length.
const unframedEvery = 20;
const stage = new Stage(import.meta.url);
const countEvents = (body) => (body.match(/^id: \d+\ndata: .*\n\n/gm) ?? []).length;

await stage.run(async () => {
  stage.store.put("op", "config", operatorDocument(1));
  const engines = [1, 2, 3].map((number) => {
    return new Replica(stage, {
      id: `i-engine-${number}`,
      service: "bootsrat",
      zone: `zone-${number}`,
      card: "h200",
      slots: 134,
      ...(number === 1 ? { unframedEvery } : {}),
      events,
      eventPause,
    });
  });
  for (const engine of engines) await engine.list();
  await stage.startEntryVms(3);
  const [vm] = stage.vms;
  let begun = 0;
  const answering = Array.from({ length: streams }, (_, index) => {
    const id = `stream-${index + 1}`;
    const headers = {
      Model: "daka510000",
      "Token-Count": "100,80",
      "Prompt-Prefix": `5c1e07a2:40,${index}d3f06:60`,
    };
    const request = formatRequest({ path: "/advice/1", id, deadline: 20_000, headers, body: "?" });
    return send(vm.front, request, { onHead: () => (begun += 1) }).then((answer) => ({
      id,
      answer,
    }));
  });
  await stage.waitUntil(() => begun === streams, "the streams have begun");
  // About ten of the 40 events.
  await sleep(500);
  if (hasTrouble) vm.signal("SIGKILL");
  const broken = [];
  for (const { id, answer } of await Promise.all(answering)) {
    const { status, headers, body, isComplete, end } = answer;
    const count = countEvents(body);
    const framing = headers["transfer-encoding"] ?? "without a length";
    stage.record(
      `client gets ${id}, ${framing}: status ${status}, ${count} of ${events} events, ` +
        `${isComplete ? "complete" : "not complete"}, connection ${end}`,
    );
    if (status === 200 && isComplete && count !== events)
      broken.push(`ORDER, MIXED: ${id} ends as complete after ${count} of ${events} events`);
    if (!hasTrouble && (status !== 200 || !isComplete || count !== events))
      throw new Error("no whole stream without trouble");
  }
  return broken;
});
