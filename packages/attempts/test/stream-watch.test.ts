//! The watch of streams: which stalled and writing streams are moved off which targets, when,
//! and how urgently.
import { setImmediate } from "node:timers/promises";
import { ListedState, type ListedTarget } from "@lovagebend/catalog";
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import t from "tap";
import { Result } from "true-myth";
import { StreamWatch, TargetRegistry, Urgency, type EngineCalls } from "../src/index.js";
import { WatchedDispatch } from "../src/watched-dispatch.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

// Each sleep advances the time by its duration at once.
class SleepingClock implements Clock {
  time: Milliseconds = 0;

  monotonicTime(): Milliseconds {
    return this.time;
  }

  wallClockTime(): Milliseconds {
    return this.time;
  }

  async sleep(duration: Milliseconds): Promise<void> {
    await setImmediate();
    this.time += duration;
  }
}

interface Reroute {
  readonly request: string;
  readonly excluded: readonly string[];
  readonly urgency: Urgency;
  readonly at: Milliseconds;
}

// Streams on the path from target "first" (port 1) to target "second" (port 2).
class Scenario {
  readonly clock = new SleepingClock();
  readonly targetRegistry = new TargetRegistry(this.clock, logger);
  readonly reroutes: Reroute[] = [];
  /// The addresses that the first engine reports as stalling, by request.
  readonly reported = new Map<string, string>();
  private readonly engines: EngineCalls = {
    readProcessState: () => Promise.resolve({ kind: "unknown" }),
    getStalledAnswers: () => Promise.resolve(Result.ok(this.reported)),
    changePath: () => Promise.resolve({ kind: "unknown", reason: "not tried" }),
  };
  private readonly watch = new StreamWatch(this.targetRegistry, this.engines, this.clock, logger);

  constructor() {
    this.targetRegistry.addOrUpdate(target("first", 1));
    this.targetRegistry.addOrUpdate(target("second", 2));
  }

  addStream(request: string): WatchedDispatch {
    const stream = new WatchedDispatch(
      {
        reroute: (excluded, _reason, urgency) => {
          this.reroutes.push({ request, excluded, urgency, at: this.clock.time });
          return Promise.resolve();
        },
      },
      request,
      [
        { target: "first", first: 0, end: 1 },
        { target: "second", first: 1, end: 2 },
      ],
      this.clock.time,
    );
    this.watch.add(stream);
    return stream;
  }

  // `whileWatched` is called before each check.
  async runUntil(end: Milliseconds, whileWatched: () => void = discard): Promise<void> {
    const abort = new AbortController();
    const running = this.watch.run(abort.signal);
    while (this.clock.time < end) {
      whileWatched();
      await setImmediate();
    }
    abort.abort();
    await running;
  }
}

function target(
  name: string,
  port: number,
  { born = 1, state = ListedState.Ready }: Partial<ListedTarget> = {},
): ListedTarget {
  return {
    name,
    service: "model",
    host: "127.0.0.1",
    port,
    dataCentre: "north",
    state,
    born,
    slots: 8,
    card: "card",
    layers: undefined,
  };
}

// Guards against stall queries that postpone the check for leaving targets without end.
t.test("a stalled stream is moved off a leaving target as a writing one is", async (t) => {
  for (const isStalled of [false, true]) {
    const scenario = new Scenario();
    const stream = scenario.addStream("r");
    scenario.targetRegistry.addOrUpdate(target("first", 1, { state: ListedState.Leaving }));
    await scenario.runUntil(2_500, () => {
      if (!isStalled) stream.recordProgress(scenario.clock.time);
    });
    const stage = isStalled ? "stalled" : "writing";
    const early = scenario.reroutes.find(({ urgency }) => urgency === Urgency.WhileItRuns);
    t.same(early?.excluded, ["first"], `${stage}: moved away from the leaving target`);
    t.ok((early?.at ?? Infinity) <= 1_400, `${stage}: after the first delay`);
    const late = scenario.reroutes.find(({ urgency }) => urgency === Urgency.Soon);
    t.ok((late?.at ?? Infinity) <= 2_000, `${stage}: resumed while the target still runs`);
  }
});
