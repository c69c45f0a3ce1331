//! The step channel with a scripted engine that sends late, reordered, invalid or no lines.
import http from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { EngineChannel, Purpose, type Step } from "../src/index.js";

interface Line {
  readonly steps: {
    id: number;
    sequence: string;
    from: number;
    inputs: unknown[];
    repeated?: boolean;
  }[];
}

/// How the engine handles each line. `connection` counts from 1.
type EngineScript = (line: Line, answer: (value: unknown) => void, connection: number) => void;

async function withEngine(
  script: EngineScript,
  use: (channel: EngineChannel) => Promise<void>,
): Promise<void> {
  let connections = 0;
  const server = http.createServer((request, response) => {
    connections += 1;
    const connection = connections;
    response.writeHead(200);
    response.write('{"alive":true}\n');
    request.setEncoding("utf8");
    request.on("error", () => undefined);
    request.on("data", (chunk: string) => {
      for (const text of chunk.split("\n").filter((line) => line !== "")) {
        const answer = (value: unknown): void => {
          response.write(typeof value === "string" ? value : `${JSON.stringify(value)}\n`);
        };
        script(JSON.parse(text) as Line, answer, connection);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const channel = new EngineChannel({ host: "127.0.0.1", port });
  try {
    await use(channel);
  } finally {
    channel.close();
    server.closeAllConnections();
    server.close();
  }
}

function createStep(sequence: string, from = 0): Step {
  return { sequence, purpose: Purpose.Answer, priority: 0, from, inputs: [1] };
}

const neverAborted = new AbortController().signal;

function createResult({ id, sequence, from }: Line["steps"][number]) {
  return { id, sequence, from, outputs: [`state of ${sequence}`] };
}

t.test(
  "concurrent steps share a line, and reordered results are matched to their steps",
  async (t) => {
    const lines: number[] = [];
    await withEngine(
      ({ steps }, answer) => {
        lines.push(steps.length);
        answer({ results: [...steps].reverse().map(createResult) });
      },
      async (channel) => {
        const outcomes = await Promise.all(
          ["a", "b", "c"].map((name) => channel.step(createStep(name), neverAborted)),
        );
        t.same(
          outcomes.map((outcome) => outcome.isOk && outcome.value),
          [["state of a"], ["state of b"], ["state of c"]],
        );
      },
    );
    t.same(lines, [3]);
  },
);

t.test("a result of another sequence or position is dropped", async (t) => {
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first === undefined) return;
      const matching = createResult(first);
      answer({ results: [{ ...matching, sequence: "other", outputs: ["wrong"] }] });
      answer({ results: [{ ...matching, from: 7, outputs: ["wrong"] }] });
      answer({ results: [{ ...matching, id: 99, outputs: ["wrong"] }] });
      answer({ results: [matching] });
    },
    async (channel) => {
      const outcome = await channel.step(createStep("a"), neverAborted);
      t.same(outcome.isOk && outcome.value, ["state of a"]);
    },
  );
});

t.test("a step whose result has too few outputs is refused", async (t) => {
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first !== undefined) answer({ results: [{ ...createResult(first), outputs: [] }] });
    },
    async (channel) => {
      const outcome = await channel.step(createStep("a"), neverAborted);
      t.equal(outcome.isErr && outcome.error.kind, "refused");
    },
  );
});

t.test(
  "a step without a result is sent again over a new connection, marked as repeated",
  async (t) => {
    const repeatedFlags: (boolean | undefined)[] = [];
    await withEngine(
      ({ steps: [first] }, answer, connection) => {
        if (first === undefined) return;
        repeatedFlags.push(first.repeated);
        if (connection > 1) answer({ results: [createResult(first)] });
      },
      async (channel) => {
        const outcome = await channel.step(createStep("a"), neverAborted);
        t.same(outcome.isOk && outcome.value, ["state of a"]);
      },
    );
    t.same(repeatedFlags, [undefined, true]);
  },
);

t.test("a step without a result on the new connection is lost", async (t) => {
  await withEngine(
    () => undefined,
    async (channel) => {
      const outcome = await channel.step(createStep("a"), neverAborted);
      t.equal(outcome.isErr && outcome.error.kind, "lost");
    },
  );
});

t.test("heartbeats keep a long step open", async (t) => {
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first === undefined) return;
      let heartbeats = 0;
      const timer = setInterval(() => {
        heartbeats += 1;
        if (heartbeats < 8) answer({ alive: true });
        else {
          clearInterval(timer);
          answer({ results: [createResult(first)] });
        }
      }, 100);
    },
    async (channel) => {
      const outcome = await channel.step(createStep("a"), neverAborted);
      t.same(outcome.isOk && outcome.value, ["state of a"]);
    },
  );
});

for (const invalidLine of ["not json\n", '{"results":[{"id":"x"}]}\n', "[1,2\n"]) {
  t.test(
    `an invalid line fails the connection, and the step is repeated: ${invalidLine.trim()}`,
    async (t) => {
      await withEngine(
        ({ steps: [first] }, answer, connection) => {
          if (first !== undefined)
            answer(connection === 1 ? invalidLine : { results: [createResult(first)] });
        },
        async (channel) => {
          const outcome = await channel.step(createStep("a"), neverAborted);
          t.same(outcome.isOk && outcome.value, ["state of a"]);
        },
      );
    },
  );
}

t.test("a cancelled step ends immediately and its late result is dropped", async (t) => {
  const controller = new AbortController();
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first === undefined) return;
      if (first.sequence === "a") controller.abort();
      answer({ results: [createResult(first)] });
    },
    async (channel) => {
      const cancelled = await channel.step(createStep("a"), controller.signal);
      t.equal(cancelled.isErr && cancelled.error.kind, "cancelled");
      const other = await channel.step(createStep("b"), neverAborted);
      t.same(other.isOk && other.value, ["state of b"]);
      t.equal(channel.openStepCount, 0);
    },
  );
});

t.test("a step to an unreachable engine is lost immediately", async (t) => {
  const channel = new EngineChannel({ host: "127.0.0.1", port: 1 });
  const outcome = await channel.step(createStep("a"), neverAborted);
  t.equal(outcome.isErr && outcome.error.kind, "lost");
});
