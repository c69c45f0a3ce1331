//! The step channel against a scripted engine: late, crossed, wrong and missing lines.
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

/// What the engine does with each line; `connection` counts from 1.
type Script = (line: Line, answer: (value: unknown) => void, connection: number) => void;

async function withEngine(
  script: Script,
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

function step(sequence: string, from = 0): Step {
  return { sequence, purpose: Purpose.Answer, priority: 0, from, inputs: [1] };
}

const never = new AbortController().signal;

function resultFor({ id, sequence, from }: Line["steps"][number]) {
  return { id, sequence, from, outputs: [`state of ${sequence}`] };
}

t.test("steps of one moment share a line, and crossed results reach their own steps", async (t) => {
  const lines: number[] = [];
  await withEngine(
    ({ steps }, answer) => {
      lines.push(steps.length);
      answer({ results: [...steps].reverse().map(resultFor) });
    },
    async (channel) => {
      const outcomes = await Promise.all(
        ["a", "b", "c"].map((name) => channel.step(step(name), never)),
      );
      t.same(
        outcomes.map((outcome) => outcome.isOk && outcome.value),
        [["state of a"], ["state of b"], ["state of c"]],
      );
    },
  );
  t.same(lines, [3]);
});

t.test("a result of another sequence or position is dropped", async (t) => {
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first === undefined) return;
      const right = resultFor(first);
      answer({ results: [{ ...right, sequence: "other", outputs: ["wrong"] }] });
      answer({ results: [{ ...right, from: 7, outputs: ["wrong"] }] });
      answer({ results: [{ ...right, id: 99, outputs: ["wrong"] }] });
      answer({ results: [right] });
    },
    async (channel) => {
      const outcome = await channel.step(step("a"), never);
      t.same(outcome.isOk && outcome.value, ["state of a"]);
    },
  );
});

t.test("a result with too few outputs is refused", async (t) => {
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first !== undefined) answer({ results: [{ ...resultFor(first), outputs: [] }] });
    },
    async (channel) => {
      const outcome = await channel.step(step("a"), never);
      t.equal(outcome.isErr && outcome.error.kind, "refused");
    },
  );
});

t.test(
  "silence: the step goes out again over a fresh connection, marked as repeated",
  async (t) => {
    const seen: (boolean | undefined)[] = [];
    await withEngine(
      ({ steps: [first] }, answer, connection) => {
        if (first === undefined) return;
        seen.push(first.repeated);
        if (connection > 1) answer({ results: [resultFor(first)] });
      },
      async (channel) => {
        const outcome = await channel.step(step("a"), never);
        t.same(outcome.isOk && outcome.value, ["state of a"]);
      },
    );
    t.same(seen, [undefined, true]);
  },
);

t.test("silence on the fresh connection as well: the step is lost", async (t) => {
  await withEngine(
    () => undefined,
    async (channel) => {
      const outcome = await channel.step(step("a"), never);
      t.equal(outcome.isErr && outcome.error.kind, "lost");
    },
  );
});

t.test("signs of life keep a long step open", async (t) => {
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first === undefined) return;
      let signs = 0;
      const timer = setInterval(() => {
        signs += 1;
        if (signs < 8) answer({ alive: true });
        else {
          clearInterval(timer);
          answer({ results: [resultFor(first)] });
        }
      }, 100);
    },
    async (channel) => {
      const outcome = await channel.step(step("a"), never);
      t.same(outcome.isOk && outcome.value, ["state of a"]);
    },
  );
});

for (const garbage of ["not json\n", '{"results":[{"id":"x"}]}\n', "[1,2\n"]) {
  t.test(
    `garbage from the engine loses the connection, not the caller: ${garbage.trim()}`,
    async (t) => {
      await withEngine(
        ({ steps: [first] }, answer, connection) => {
          if (first !== undefined)
            answer(connection === 1 ? garbage : { results: [resultFor(first)] });
        },
        async (channel) => {
          const outcome = await channel.step(step("a"), never);
          t.same(outcome.isOk && outcome.value, ["state of a"]);
        },
      );
    },
  );
}

t.test("a cancelled step ends at once and its late result reaches nobody", async (t) => {
  const controller = new AbortController();
  await withEngine(
    ({ steps: [first] }, answer) => {
      if (first === undefined) return;
      if (first.sequence === "a") controller.abort();
      answer({ results: [resultFor(first)] });
    },
    async (channel) => {
      const cancelled = await channel.step(step("a"), controller.signal);
      t.equal(cancelled.isErr && cancelled.error.kind, "cancelled");
      const other = await channel.step(step("b"), never);
      t.same(other.isOk && other.value, ["state of b"]);
      t.equal(channel.openSteps, 0);
    },
  );
});

t.test("an engine that is not there loses the step at once", async (t) => {
  const channel = new EngineChannel({ host: "127.0.0.1", port: 1 });
  const outcome = await channel.step(step("a"), never);
  t.equal(outcome.isErr && outcome.error.kind, "lost");
});
