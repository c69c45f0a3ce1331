// A replica hands out wrong bytes in place of a few of its answers.
import {
  formatRequest,
  hasTrouble,
  operatorDocument,
  Replica,
  send,
  sleep,
  Stage,
} from "../lib-2/stage.mjs";

const requests = 200;
// One answer in 50 of one replica of three, for 5 s.
const garbledEvery = 50;
const stage = new Stage(import.meta.url);

await stage.run(async () => {
  stage.store.put("op", "config", operatorDocument(1));
  const replicas = [1, 2, 3].map((number) => {
    return new Replica(stage, {
      id: `i-${number}`,
      service: "werkportal",
      zone: `zone-${number}`,
      slots: 6,
      workTime: 85,
      ...(hasTrouble && number === 1 ? { garbledEvery } : {}),
    });
  });
  for (const replica of replicas) await replica.list();
  await stage.startEntryVms(3);
  const answering = [];
  for (let number = 1; number <= requests; number += 1) {
    // The entry VM in the zone of that replica.
    const [vm] = stage.vms;
    const id = `order-${number}`;
    const bytes = formatRequest({ path: "/order/1", id, deadline: 3_000, body: "cedar" });
    answering.push(send(vm.front, bytes).then((answer) => ({ id, vm, answer })));
    await sleep(30);
  }
  const broken = [];
  for (const { id, vm, answer } of await Promise.all(answering)) {
    const { status, headers, body, isComplete } = answer;
    const stamp = headers["server-stamp"];
    stage.record(
      `client gets ${id} from ${vm.name}: status ${status}, ${body.length} bytes, ` +
        `${isComplete ? "complete" : "not complete"}, stamp ${stamp ?? "none"}`,
    );
    if (status >= 200 && status < 300 && isComplete && stamp === undefined)
      broken.push(
        `MIXED: ${id} is a success without a stamp: ${JSON.stringify(body.slice(0, 20))}`,
      );
    if (!hasTrouble && stamp === undefined) throw new Error("no answer without trouble");
  }
  return broken;
});
