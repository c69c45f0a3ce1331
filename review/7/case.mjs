// A replica of a plain service is killed between the two halves of an answer without a length.
import {
  formatRequest,
  hasTrouble,
  operatorDocument,
  Replica,
  send,
  sleep,
  Stage,
} from "../lib-2/stage.mjs";

const bodyLength = 800;
// One answer in 40 has no length.
const unframedEvery = 40;
const kinds = ["order", "look-up"];
// Longer than any crash of the site.
const roundPause = 5_000;
const stage = new Stage(import.meta.url);
let replicaCount = 0;

async function startReplica() {
  replicaCount += 1;
  const replica = new Replica(stage, {
    id: `i-${replicaCount}`,
    service: "werkportal",
    zone: `zone-${1 + (replicaCount % 3)}`,
    slots: 6,
    unframedEvery,
    workTime: 85,
    halfTime: 400,
    bodyLength,
  });
  await replica.list();
  return replica;
}

function format(kind, id) {
  return kind === "order"
    ? formatRequest({ path: "/order/1", id, deadline: 3_000, body: "two cedar planks" })
    : formatRequest({ method: "GET", path: "/stock/1", id, deadline: 3_000 });
}

await stage.run(async () => {
  stage.store.put("op", "config", operatorDocument(1));
  let replicas = [await startReplica(), await startReplica(), await startReplica()];
  await stage.startEntryVms(3);
  const broken = [];
  let number = 0;
  for (const kind of kinds) {
    const answering = [];
    for (let index = 1; index <= unframedEvery; index += 1) {
      number += 1;
      const id = `${kind}-${number}`;
      const vm = stage.vms[number % stage.vms.length];
      const answer = send(vm.front, format(kind, id)).then((answer) => ({ id, vm, answer }));
      answering.push(answer);
      await sleep(50);
    }
    const id = `${kind}-${number}`;
    const findHolder = () =>
      replicas.find(({ lines }) =>
        lines.some(({ event, attempt }) => event === "half sent" && attempt === id),
      );
    await stage.waitUntil(() => findHolder() !== undefined, "half of the answer is sent");
    const holder = findHolder();
    // The first half is on its way.
    await sleep(20);
    if (hasTrouble) holder.signal("SIGKILL");
    for (const { id, vm, answer } of await Promise.all(answering)) {
      const { status, headers, body, isComplete, end } = answer;
      stage.record(
        `client gets ${id} from ${vm.name}: status ${status}, ${body.length} bytes of ${bodyLength}, ` +
          `${isComplete ? "complete" : "not complete"}, length ${headers["content-length"] ?? "none"}, ` +
          `connection ${end}, stamp ${headers["server-stamp"] ?? "none"}`,
      );
      if (status === 200 && isComplete && body.length !== bodyLength)
        broken.push(`MIXED: ${id} is a success with ${body.length} of ${bodyLength} bytes`);
      if (!hasTrouble && (status !== 200 || !isComplete))
        throw new Error("no answer without trouble");
    }
    if (!hasTrouble) continue;
    // Its entry lapses; another one takes its place.
    holder.unlist();
    replicas = [...replicas.filter((replica) => replica !== holder), await startReplica()];
    await sleep(roundPause);
  }
  return broken;
});
