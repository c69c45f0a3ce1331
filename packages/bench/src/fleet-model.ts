//! An emulator of engines and links on a given clock, for measuring policies: answers
//! cross targets token by token, each target and each link serving one step after the
//! other.
import type { Clock, Milliseconds } from "@lovagebend/common";
import { FleetView, ThroughputMeter, TargetState, type TargetView } from "@lovagebend/membership";
import TinyQueue from "tinyqueue";

/// A target of the emulator. `linkPerSecond` is how many steps its link carries a second.
export interface ModelTarget {
  readonly name: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly tokensPerSecond: number;
  readonly linkPerSecond: number;
  readonly latency: Milliseconds;
}

/// Chooses the names of the targets that an answer crosses; `undefined` for a refusal.
export type ChoosePolicy = (
  state: ModelState,
  promptTokens: number,
) => readonly string[] | undefined;

/// What a policy may look at: the view as the product would have it, with reports that
/// lag, and the answers it has itself sent to each target.
export interface ModelState {
  readonly now: Milliseconds;
  readonly view: FleetView;
  readonly open: ReadonlyMap<string, number>;
}

interface Event {
  readonly at: Milliseconds;
  readonly run: () => void;
}

interface Server {
  readonly target: ModelTarget;
  engineFreeAt: Milliseconds;
  linkFreeAt: Milliseconds;
  report: { queuedTokens: number; at: Milliseconds };
  readonly meter: ThroughputMeter;
  slowness: number;
  isDown: boolean;
}

const millisecondsPerSecond = 1_000;
const turnsPerEvent = 6;

export class FleetModel {
  now: Milliseconds = 0;
  /// Tokens that have crossed all layers, those of prompts included.
  tokensDone = 0;
  readonly open = new Map<string, number>();
  private readonly servers: ReadonlyMap<string, Server>;
  private readonly events = new TinyQueue<Event>([], (left, right) => left.at - right.at);

  constructor(
    targets: readonly ModelTarget[],
    private readonly reportPause: Milliseconds,
  ) {
    this.servers = new Map(targets.map((target) => [target.name, idle(target)]));
    this.every(reportPause, () => {
      this.report();
    });
  }

  at(time: Milliseconds, run: () => void): void {
    this.events.push({ at: time, run });
  }

  every(pause: Milliseconds, run: () => void): void {
    this.at(this.now + pause, () => {
      run();
      this.every(pause, run);
    });
  }

  runUntil(end: Milliseconds): void {
    while (this.runNext(end));
  }

  /// As `runUntil`, letting promises settle after each event.
  async runUntilSettled(end: Milliseconds): Promise<void> {
    while (this.runNext(end)) {
      for (let turn = 0; turn < turnsPerEvent; turn += 1) await Promise.resolve();
    }
  }

  // Runs the next event up to `end`; without one, time moves to `end`.
  private runNext(end: Milliseconds): boolean {
    const next = this.events.peek();
    if (next === undefined || next.at > end) {
      this.now = end;
      return false;
    }
    this.events.pop();
    this.now = next.at;
    next.run();
    return true;
  }

  /// The emulator's time as a clock.
  get clock(): Clock {
    return {
      monotonicTime: () => this.now,
      wallClockTime: () => this.now,
      sleep: (duration, signal) =>
        new Promise((resolve) => {
          this.at(this.now + duration, resolve);
          signal?.addEventListener(
            "abort",
            () => {
              resolve();
            },
            { once: true },
          );
        }),
    };
  }

  setSlowness(name: string, slowness: number): void {
    const server = this.servers.get(name);
    if (server !== undefined) server.slowness = slowness;
  }

  setDown(name: string, isDown: boolean): void {
    const server = this.servers.get(name);
    if (server !== undefined) server.isDown = isDown;
  }

  isDown(name: string): boolean {
    return this.servers.get(name)?.isDown ?? true;
  }

  /// Runs one step of `tokens` tokens on a target; `done` is called when its result is
  /// back.
  step(name: string, tokens: number, done: () => void): void {
    const server = this.servers.get(name);
    if (server === undefined || server.isDown) return;
    const { target } = server;
    const sentAt = this.now;
    const linkTime = (tokens * millisecondsPerSecond) / target.linkPerSecond;
    server.linkFreeAt = Math.max(this.now, server.linkFreeAt) + linkTime;
    const arrival = server.linkFreeAt + target.latency / 2;
    const work = (tokens * millisecondsPerSecond * server.slowness) / target.tokensPerSecond;
    server.engineFreeAt = Math.max(arrival, server.engineFreeAt) + work;
    this.at(server.engineFreeAt + target.latency / 2, () => {
      if (server.isDown) return;
      server.meter.recordStep(tokens, sentAt, this.now, target.latency);
      done();
    });
  }

  /// Notes that an answer began to cross targets.
  noteBegun(names: readonly string[]): void {
    for (const name of names) this.open.set(name, (this.open.get(name) ?? 0) + 1);
  }

  noteEnded(names: readonly string[]): void {
    for (const name of names) this.open.set(name, (this.open.get(name) ?? 1) - 1);
  }

  get state(): ModelState {
    const targets = [...this.servers.values()].map((server) => this.viewOf(server));
    return { now: this.now, view: FleetView.of(targets), open: this.open };
  }

  private viewOf(server: Server): TargetView {
    const { target, report } = server;
    const learned = server.meter.tokensPerSecond ?? Infinity;
    return {
      name: target.name,
      group: "model",
      dataCentre: "north-a",
      firstLayer: target.firstLayer,
      endLayer: target.endLayer,
      tokensPerSecond: Math.min(target.tokensPerSecond, learned),
      latency: target.latency,
      state: server.isDown ? TargetState.Down : TargetState.Serving,
      load: {
        queuedTokens: report.queuedTokens,
        openSequences: 0,
        tokensPerSecond: 0,
        leaving: false,
      },
      reportAge: this.now - report.at,
      openAnswers: this.open.get(target.name) ?? 0,
    };
  }

  private report(): void {
    for (const server of this.servers.values()) {
      const waiting = Math.max(0, server.engineFreeAt - this.now);
      const queuedTokens = (waiting * server.target.tokensPerSecond) / millisecondsPerSecond;
      server.report = { queuedTokens, at: this.now };
    }
  }
}

/// An answer in the emulator: crosses its path for the prompt and then for each token.
/// `onToken` is called with the number of tokens so far; `onEnd` after the last.
export function runModelAnswer(
  model: FleetModel,
  path: readonly string[],
  promptTokens: number,
  mostTokens: number,
  onToken: (count: number) => void,
  onEnd: () => void,
): void {
  const pass = (stage: number, tokens: number, then: () => void): void => {
    const name = path[stage];
    if (name === undefined) {
      then();
      return;
    }
    model.step(name, tokens, () => {
      pass(stage + 1, tokens, then);
    });
  };
  const next = (count: number): void => {
    model.tokensDone += count === 1 ? promptTokens : 1;
    onToken(count);
    if (count >= mostTokens) {
      model.noteEnded(path);
      onEnd();
      return;
    }
    pass(0, 1, () => {
      next(count + 1);
    });
  };
  model.noteBegun(path);
  pass(0, promptTokens, () => {
    next(1);
  });
}

function idle(target: ModelTarget): Server {
  return {
    target,
    engineFreeAt: 0,
    linkFreeAt: 0,
    report: { queuedTokens: 0, at: 0 },
    meter: new ThroughputMeter(),
    slowness: 1,
    isDown: false,
  };
}
