//! A discrete-event simulator of engines and network links, for comparing routing policies
//! in virtual time. An answer crosses the targets of its path once per token; each target
//! and each link serves one step at a time in arrival order.
import type { Clock, Milliseconds } from "@lovagebend/common";
import { FleetView, ThroughputMeter, TargetState, type TargetView } from "@lovagebend/membership";
import TinyQueue from "tinyqueue";

/// A simulated target. Its link carries `linkPerSecond` tokens a second, and `latency` is
/// the round-trip time of the link.
export interface SimulatedTarget {
  readonly name: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly tokensPerSecond: number;
  readonly linkPerSecond: number;
  readonly latency: Milliseconds;
}

/// Chooses the names of the targets that an answer crosses, in path order. Returns
/// `undefined` when there is no path.
export type PathPolicy = (state: FleetState, promptTokens: number) => readonly string[] | undefined;

/// The input of a policy: the view with delayed load reports, as an entry VM has it, and the
/// current number of open answers that this policy sent to each target.
export interface FleetState {
  readonly now: Milliseconds;
  readonly view: FleetView;
  readonly openAnswers: ReadonlyMap<string, number>;
}

interface ScheduledEvent {
  readonly at: Milliseconds;
  readonly action: () => void;
}

interface Server {
  readonly target: SimulatedTarget;
  engineFreeAt: Milliseconds;
  linkFreeAt: Milliseconds;
  report: { queuedTokens: number; at: Milliseconds };
  readonly meter: ThroughputMeter;
  slowness: number;
  isDown: boolean;
}

const millisecondsPerSecond = 1_000;
const microtaskTurnsPerEvent = 6;

/// Times are virtual milliseconds since the start.
export class FleetSimulator {
  now: Milliseconds = 0;
  /// Tokens that have crossed all layers, including prompt tokens.
  completedTokens = 0;
  readonly openAnswers = new Map<string, number>();
  private readonly servers: ReadonlyMap<string, Server>;
  private readonly events = new TinyQueue<ScheduledEvent>([], (left, right) => left.at - right.at);

  constructor(
    targets: readonly SimulatedTarget[],
    private readonly reportInterval: Milliseconds,
  ) {
    this.servers = new Map(targets.map((target) => [target.name, createIdleServer(target)]));
    this.scheduleEvery(reportInterval, () => {
      this.report();
    });
  }

  scheduleAt(time: Milliseconds, action: () => void): void {
    this.events.push({ at: time, action });
  }

  scheduleEvery(interval: Milliseconds, action: () => void): void {
    this.scheduleAt(this.now + interval, () => {
      action();
      this.scheduleEvery(interval, action);
    });
  }

  runUntil(end: Milliseconds): void {
    while (this.runNext(end));
  }

  /// Like `runUntil`, but lets pending promises settle after each event.
  async runUntilSettled(end: Milliseconds): Promise<void> {
    while (this.runNext(end)) {
      for (let turn = 0; turn < microtaskTurnsPerEvent; turn += 1) await Promise.resolve();
    }
  }

  // Runs the next event that is due by `end`. Returns false when there is none, after
  // advancing the time to `end`.
  private runNext(end: Milliseconds): boolean {
    const next = this.events.peek();
    if (next === undefined || next.at > end) {
      this.now = end;
      return false;
    }
    this.events.pop();
    this.now = next.at;
    next.action();
    return true;
  }

  /// A clock that shows the simulator's virtual time.
  get clock(): Clock {
    return {
      monotonicTime: () => this.now,
      wallClockTime: () => this.now,
      sleep: (duration, signal) =>
        new Promise((resolve) => {
          this.scheduleAt(this.now + duration, resolve);
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

  /// Runs one step of `tokens` tokens on a target. Calls `onResult` when the result has
  /// returned; there is no call when the target is unknown or down, now or at that time.
  runStep(name: string, tokens: number, onResult: () => void): void {
    const server = this.servers.get(name);
    if (server === undefined || server.isDown) return;
    const { target } = server;
    const sentAt = this.now;
    const linkTime = (tokens * millisecondsPerSecond) / target.linkPerSecond;
    server.linkFreeAt = Math.max(this.now, server.linkFreeAt) + linkTime;
    const arrivesAt = server.linkFreeAt + target.latency / 2;
    const computeTime = (tokens * millisecondsPerSecond * server.slowness) / target.tokensPerSecond;
    server.engineFreeAt = Math.max(arrivesAt, server.engineFreeAt) + computeTime;
    this.scheduleAt(server.engineFreeAt + target.latency / 2, () => {
      if (server.isDown) return;
      server.meter.recordStep(tokens, sentAt, this.now, target.latency);
      onResult();
    });
  }

  /// Counts an answer that starts to cross the targets `names`.
  recordStart(names: readonly string[]): void {
    for (const name of names) this.openAnswers.set(name, (this.openAnswers.get(name) ?? 0) + 1);
  }

  recordEnd(names: readonly string[]): void {
    for (const name of names) this.openAnswers.set(name, (this.openAnswers.get(name) ?? 1) - 1);
  }

  get state(): FleetState {
    const targets = [...this.servers.values()].map((server) => this.viewOf(server));
    return { now: this.now, view: FleetView.of(targets), openAnswers: this.openAnswers };
  }

  private viewOf(server: Server): TargetView {
    const { target, report } = server;
    const measuredThroughput = server.meter.tokensPerSecond ?? Infinity;
    return {
      name: target.name,
      group: "model",
      dataCentre: "north-a",
      firstLayer: target.firstLayer,
      endLayer: target.endLayer,
      tokensPerSecond: Math.min(target.tokensPerSecond, measuredThroughput),
      latency: target.latency,
      state: server.isDown ? TargetState.Down : TargetState.Serving,
      load: {
        queuedTokens: report.queuedTokens,
        openSequences: 0,
        tokensPerSecond: 0,
        leaving: false,
      },
      reportAge: this.now - report.at,
      openAnswers: this.openAnswers.get(target.name) ?? 0,
    };
  }

  private report(): void {
    for (const server of this.servers.values()) {
      const backlog = Math.max(0, server.engineFreeAt - this.now);
      const queuedTokens = (backlog * server.target.tokensPerSecond) / millisecondsPerSecond;
      server.report = { queuedTokens, at: this.now };
    }
  }
}

/// Simulates an answer, which crosses its path once for the prompt and then once for each
/// further token. Calls `onToken` with the number of tokens so far, and `onEnd` after the
/// last token.
export function simulateAnswer(
  simulator: FleetSimulator,
  path: readonly string[],
  promptTokens: number,
  maximumTokens: number,
  onToken: (count: number) => void,
  onEnd: () => void,
): void {
  const runStages = (stage: number, tokens: number, onComplete: () => void): void => {
    const name = path[stage];
    if (name === undefined) {
      onComplete();
      return;
    }
    simulator.runStep(name, tokens, () => {
      runStages(stage + 1, tokens, onComplete);
    });
  };
  const completeToken = (count: number): void => {
    simulator.completedTokens += count === 1 ? promptTokens : 1;
    onToken(count);
    if (count >= maximumTokens) {
      simulator.recordEnd(path);
      onEnd();
      return;
    }
    runStages(0, 1, () => {
      completeToken(count + 1);
    });
  };
  simulator.recordStart(path);
  runStages(0, promptTokens, () => {
    completeToken(1);
  });
}

function createIdleServer(target: SimulatedTarget): Server {
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
