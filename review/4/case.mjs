// A new version of the configuration adds a second model service and a route to it. Its engines
// never get layers, so that the route is never served.
import { fileURLToPath } from "node:url";
import { createDocument, now, runCase, sleep } from "../lib/deployment.mjs";
import { Engine, services } from "../lib/replica.mjs";

const entryVmCount = 6;
const firstEngineCount = 12;
const addedEngineCount = 3;
const settleTime = 3_000;
const steadyTime = 20_000;
const requestPairs = 40;
const interval = 250;
const timeLimit = 5_000;
const minimumRequests = 20;
const minimumShare = 1 / 4;

const createRoute = (name, service) => ({
  name,
  path_prefix: `/${name}/`,
  route_kind: "streaming",
  service,
  resumable: true,
  sticky: true,
  max_attempts: 2,
  timeout_ms: timeLimit,
  gap_target_ms: 200,
});
const zones = ["north", "middle", "south"];
const recordPath = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(recordPath, async (deployment) => {
  const addEngines = async (service, count) => {
    for (let index = 0; index < count; index += 1) {
      const id = `${service}-${index}`;
      const zone = zones[index % zones.length];
      await new Engine(deployment, { id, service, zone, slots: 134 }).start();
    }
  };
  await addEngines("model", firstEngineCount);
  const first = [createRoute("advice", "model")];
  const describe = (version, routes, listed) =>
    createDocument(version, { keys: ["key-1"], routes, services: listed });
  await deployment.start({ entryVmCount, document: describe(1, first, services) });
  await waitForLayers(deployment, "model");
  await sleep(settleTime);

  // Without the disruption, the new route leads to the model that is there.
  const addedService = deployment.hasTrouble ? "other-model" : "model";
  if (deployment.hasTrouble) await addEngines(addedService, addedEngineCount);
  const added = [...first, createRoute("draft", addedService)];
  const [model] = services.filter(({ name }) => name === "model");
  const listed = [...services, { ...model, name: "other-model" }];
  deployment.writeDocument(describe(4, added, deployment.hasTrouble ? listed : services));
  await sleep(steadyTime);

  const calls = [];
  for (let number = 1; number <= requestPairs; number += 1) {
    for (const route of ["advice", "draft"]) {
      const id = `${route}-${number}`;
      const entryVm = deployment.entryVms[number % entryVmCount];
      const headers = {
        "api-key": "key-1",
        model: "m",
        "token-count": "100,20",
        "prompt-prefix": `a${number % 60}:40,b${number}:60`,
      };
      const path = `/${route}/${id}`;
      calls.push(
        deployment
          .send(entryVm, { id, path, method: "POST", body: "prompt", headers, timeLimit })
          .then((answer) => ({ ...answer, route })),
      );
    }
    await sleep(interval);
  }
  const answers = await Promise.all(calls);
  const shareServed = (name) => {
    const sent = answers.filter(({ route }) => route === name);
    return (
      sent.filter(({ status, isComplete }) => status === 200 && isComplete).length / sent.length
    );
  };
  const [firstShare, addedShare] = [shareServed("advice"), shareServed("draft")];
  const statuses = [...new Set(answers.map(({ route, status }) => `${route} ${status}`))];
  console.log(`served: ${firstShare} on the first route, ${addedShare} on the added one`);
  console.log(`answers: ${statuses.join(", ")}`);
  const isBroken = requestPairs >= minimumRequests && addedShare < firstShare * minimumShare;
  return isBroken ? [`the added route is served in ${addedShare} of the cases`] : [];
});

async function waitForLayers(deployment, service) {
  const deadline = now() + 20_000;
  const engines = deployment.replicas.filter((replica) => replica.service === service);
  while (engines.some(({ layers }) => layers === null)) {
    if (now() > deadline) throw new Error("the layers are not placed");
    await sleep(100);
  }
}
