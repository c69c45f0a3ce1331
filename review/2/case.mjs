// Faulty replicas truncate some answers and leave the connections open. Some of these requests
// never get an answer, long after the timeout of their route.
import { fileURLToPath } from "node:url";
import { createDocument, now, runCase, sleep } from "../lib/deployment.mjs";
import { Portal, services } from "../lib/replica.mjs";

const entryVmCount = 3;
const replicaCount = 9;
const slots = 24;
const duration = 46_000;
const requestsPerSecond = 450;
const routeTimeout = 5_000;
const timeLimit = 8_000;
const patience = 12_000;
const answerSlack = 500;
// In each span a third of the replicas truncate every 50th answer.
const faultySpan = 5_000;
const spanInterval = 8_000;
const faultyReplicas = 3;
const faultyAnswerInterval = 50;
const answerLength = 800;
const minimumUnanswered = 8;

const createRoute = (name, route_kind, max_attempts) => ({
  name,
  path_prefix: `/${name}/`,
  route_kind,
  service: "portal",
  max_attempts,
  timeout_ms: routeTimeout,
});
const routes = [createRoute("order", "non_idempotent", 1), createRoute("stock", "idempotent", 2)];
const zones = ["north", "middle", "south"];
const recordPath = fileURLToPath(new URL("record.txt", import.meta.url));

await runCase(recordPath, async (deployment) => {
  const truncated = new Set();
  let startedAt = Infinity;
  const isInSpan = () => now() >= startedAt && (now() - startedAt) % spanInterval < faultySpan;
  for (let index = 0; index < replicaCount; index += 1) {
    const zone = zones[index % zones.length];
    const replica = new Portal(deployment, { id: `i-${index}`, service: "portal", zone, slots });
    let answers = 0;
    replica.sendAnswer = (request, response, id) => {
      const body = "x".repeat(answerLength);
      const isFaulty = deployment.hasTrouble && index < faultyReplicas && isInSpan();
      if (isFaulty) answers += 1;
      response.writeHead(200, {
        "attempt-id": id,
        "server-stamp": `stamp.${replica.id}.${id}`,
        "content-length": answerLength,
      });
      if (!isFaulty || answers % faultyAnswerInterval !== 0) {
        response.end(body);
        return;
      }
      truncated.add(id);
      deployment.record("truncated answer", { id, replica: replica.id });
      response.write(body.slice(0, answerLength / 2));
    };
    await replica.start();
  }
  await deployment.start({
    entryVmCount,
    document: createDocument(1, { keys: ["key-1"], routes, services }),
  });
  startedAt = now();
  const calls = [];
  for (let number = 1; now() - startedAt < duration; number += 1) {
    const route = number % 2 === 0 ? "order" : "stock";
    const id = `${route}-${number}`;
    calls.push(
      deployment.send(deployment.entryVms[number % entryVmCount], {
        id,
        path: `/${route}/${id}`,
        method: route === "order" ? "POST" : "GET",
        body: route === "order" ? "order" : "",
        headers: { "api-key": "key-1" },
        timeLimit,
        patience,
      }),
    );
    await sleep(startedAt + (number * 1_000) / requestsPerSecond - now());
  }
  const answers = await Promise.all(calls);
  const lasting = answers.filter(({ took }) => took > routeTimeout);
  const unanswered = lasting.filter(({ took }) => took > routeTimeout + answerSlack);
  console.log(
    `${answers.length} requests, ${truncated.size} with a truncated answer, ${lasting.length} longer than the timeout, ${unanswered.length} of them without an answer ${answerSlack} ms later`,
  );
  const isBroken = unanswered.length >= minimumUnanswered && unanswered.length > lasting.length / 4;
  return isBroken ? unanswered.map(({ id, end, took }) => `${id}: ${end} after ${took} ms`) : [];
});
