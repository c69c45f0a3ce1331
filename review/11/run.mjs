// Requests with a deadly prompt crash their engines while other engines leave as planned. Each engine
// records the path of each run, and each token shows which layers have made it.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createRandom,
  hasTrouble,
  runCase,
  sendRequest,
  sleep,
  waitUntil,
} from "../lib-3/case.mjs";
import { document } from "../lib-3/document.mjs";
import { computeToken, Engine, isWholePath, layerCount, wholeModel } from "../lib-3/targets.mjs";

// Three periods of 20 s at most, with a pause between them.
const roundsPerPeriod = 3;
const periods = 3;
const pauseBetweenPeriods = 4_000;
const enginesAtStart = 38;
const leavingShare = 0.25;
// Of those that leave; the others report that they are draining.
const unannouncedShare = 0.3;
// Three of the more than 100 streams of a round are deadly, which is a share below 0.03.
const streamsPerSecond = 20;
const deadlyPerRound = 3;
// After the second crash of a round, within the second in which the system waits for evidence.
const leavingAfter = 400;
const random = createRandom(Number(process.env.SEED ?? 1));

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const engines = [];
  const crashes = [];
  const streams = [];
  let engineNumber = 0;
  let streamNumber = 0;

  const startEngine = async () => {
    engineNumber += 1;
    const engine = new Engine(deployment, `i-engine-${engineNumber}`, "writer");
    engine.onRun = (request, { id }) => {
      if (!String(request.headers["prompt-prefix"]).includes("dead")) return;
      setTimeout(() => {
        if (engine.hasEnded) return;
        record.add(`crash of ${id} by ${request.headers["attempt-id"]}`);
        crashes.push(performance.now());
        engine.crash();
      }, 100);
    };
    engines.push(await engine.start());
  };
  const listServing = () => engines.filter(({ hasEnded, isLeaving }) => !hasEnded && !isLeaving);
  const covers = (layer) =>
    listServing().filter(({ layers }) => layers?.from <= layer && layer < layers.target).length;
  const isPlaced = () =>
    listServing().every(({ layers }) => layers !== null) &&
    Array.from({ length: layerCount }, (_, layer) => covers(layer)).every((count) => count >= 2);

  const send = async (prompt, entryVm) => {
    streamNumber += 1;
    const id = `attempt-${streamNumber}`;
    const headers = {
      "attempt-id": id,
      model: "m0",
      "token-count": "400,40",
      "prompt-prefix": `5c1e07a2:40,${prompt}:60,${streamNumber.toString(16)}:300`,
    };
    const deadline = 20_000;
    const request = { method: "POST", path: "/advice/2f", headers, body: "prompt", deadline };
    const answer = await sendRequest(entryVm.host, request);
    streams.push({ id, answer });
    record.add(`${id} (${prompt}) got ${answer.status}, complete: ${answer.isComplete}`);
  };

  await deployment.start(2, document);
  for (let index = 0; index < enginesAtStart; index += 1) await startEngine();
  await deployment.waitForReadiness();
  await waitUntil(isPlaced, 20_000, "the engines hold their layers");
  for (const { id, layers } of engines) record.add(`${id} holds ${JSON.stringify(layers)}`);
  await sleep(1_500);

  let isOver = false;
  const pending = [];
  const background = (async () => {
    while (!isOver) {
      const entryVm = deployment.entryVms[streamNumber % deployment.entryVms.length];
      pending.push(send(`a${streamNumber % 20}`, entryVm));
      await sleep(1_000 / streamsPerSecond);
    }
  })();
  const deadlySince = [];
  for (let round = 1; round <= periods * roundsPerPeriod; round += 1) {
    if (round > 1 && (round - 1) % roundsPerPeriod === 0) await sleep(pauseBetweenPeriods);
    await sleep(500);
    const before = crashes.length;
    if (hasTrouble) {
      const entryVm = deployment.entryVms[round % deployment.entryVms.length];
      deadlySince.push(record.now());
      for (let index = 0; index < deadlyPerRound; index += 1)
        pending.push(send(`dead0${round}`, entryVm));
      await waitUntil(() => crashes.length >= before + 2, 5_000, "two crashes").catch(
        () => undefined,
      );
      await sleep(leavingAfter);
    }
    // Planned work: a quarter of the engines are taken away, which have been replaced before.
    const staying = listServing();
    const leaving = [...staying]
      .map((engine) => ({ engine, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, Math.floor(leavingShare * staying.length));
    const unannounced = Math.round(unannouncedShare * leaving.length);
    for (const [index, { engine }] of leaving.entries()) {
      if (index < unannounced) {
        record.add(`entry of ${engine.id} removed`);
        engine.leaveUnannounced();
      } else {
        record.add(`${engine.id} is draining`);
        engine.leaveAnnounced();
      }
    }
    await sleep(1_500);
    while (listServing().length < enginesAtStart) await startEngine();
    await sleep(2_700);
    await waitUntil(isPlaced, 8_000, "the engines hold their layers again");
  }
  isOver = true;
  await background;
  await Promise.all(pending);

  const broken = [];
  for (const engine of engines)
    for (const { id, at, hops, parts } of engine.runs)
      if (!isWholePath(parts))
        broken.push(
          `LAYERS: ${engine.id} ran ${id} at ${Math.round(at - record.startedAt)} with hops ${hops}`,
        );
  for (const { id, answer } of streams) {
    const events = [...answer.body.matchAll(/id: (\d+)\ndata: (\w+)\n/g)];
    const wrong = events.filter(
      ([, number, token]) => token !== computeToken(Number(number), wholeModel),
    );
    if (wrong.length > 0)
      broken.push(
        `LAYERS: the client of ${id} got ${wrong.length} of ${events.length} tokens that some layers have not made`,
      );
  }
  const deadly = deadlySince.length * deadlyPerRound;
  record.add(
    `summary: deadly requests ${deadly} of ${streams.length}, sent at ${deadlySince.join(" ")} ms`,
  );
  record.add(
    `summary: ${streams.length} streams, ${crashes.length} crashes, ${broken.length} faults`,
  );
  return broken;
});
