//! Deterministic discrete-event simulation. Tasks run on simulated clocks: time advances
//! from one event to the next, and every nondeterministic outcome is drawn from a given
//! list of choices. The same list repeats the same run, so that a failing run can be
//! shrunk.
import type { Clock, Milliseconds } from "@lovagebend/common";

interface PendingEvent {
  readonly process: FakeProcess;
  readonly insertionOrder: number;
  readonly resolve: () => void;
  dueAt: Milliseconds;
}

/// A simulated process. While it is frozen it receives no event; events that come due
/// in that time are delivered when it resumes.
export class FakeProcess {
  frozenUntil: Milliseconds = 0;

  constructor(readonly name: string) {}
}

const maximumEvents = 20_000;
const eventLoopTurnsPerEvent = 4;

export class Simulation {
  readonly transcript: string[] = [];
  private readonly pendingEvents: PendingEvent[] = [];
  private lastInsertionOrder = 0;
  private nextChoiceIndex = 0;
  private currentTime: Milliseconds = 0;

  /// `choices` are used in order; after the last one every draw is 0.
  constructor(private readonly choices: readonly number[] = []) {}

  get now(): Milliseconds {
    return this.currentTime;
  }

  /// Draws a number from 0 up to, not including, `bound`.
  draw(bound: number): number {
    const choice = this.choices[this.nextChoiceIndex] ?? 0;
    this.nextChoiceIndex += 1;
    return choice % bound;
  }

  /// Draws whether an event with a probability of 1 in `count` occurs. Returns false for
  /// every `count` above 1 once the choices have run out.
  drawOneIn(count: number): boolean {
    return this.draw(count) === count - 1;
  }

  /// Appends a line with the current simulated time to the transcript.
  record(line: string): void {
    this.transcript.push(`${String(Math.round(this.currentTime)).padStart(6)}  ${line}`);
  }

  /// Resolves after `duration`, or when `process` resumes if it is frozen at that time.
  delay(process: FakeProcess, duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.lastInsertionOrder += 1;
      this.pendingEvents.push({
        process,
        insertionOrder: this.lastInsertionOrder,
        resolve,
        dueAt: this.currentTime + Math.max(0, duration),
      });
    });
  }

  /// Creates the clock of `process`, which runs `rate` times as fast as simulated time.
  createClock(process: FakeProcess, rate = 1): Clock {
    return {
      monotonicTime: () => this.currentTime * rate,
      wallClockTime: () => this.currentTime * rate,
      sleep: (duration, signal) => this.sleep(process, duration / rate, signal),
    };
  }

  /// Freezes `process` for `duration`; a freeze in progress is extended, never shortened.
  freeze(process: FakeProcess, duration: Milliseconds): void {
    process.frozenUntil = Math.max(process.frozenUntil, this.currentTime + duration);
  }

  /// Runs events until `task` settles. Throws when no event is pending while `task` is
  /// unsettled, or after 20 000 events.
  async run<T>(task: Promise<T>): Promise<T> {
    const completion = { isDone: false };
    const trackedTask = task.finally(() => {
      completion.isDone = true;
    });
    trackedTask.catch(() => undefined);
    for (let eventCount = 0; eventCount < maximumEvents; eventCount += 1) {
      await runReadyTasks();
      if (completion.isDone) return trackedTask;
      const next = this.removeNextEvent();
      if (next === undefined) throw new Error("the task is unsettled and no event is pending");
      this.currentTime = Math.max(this.currentTime, next.dueAt);
      if (next.process.frozenUntil > this.currentTime) {
        next.dueAt = next.process.frozenUntil;
        this.pendingEvents.push(next);
        continue;
      }
      next.resolve();
    }
    throw new Error("the task is unsettled after the maximum number of events");
  }

  private sleep(
    process: FakeProcess,
    duration: Milliseconds,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const delayed = this.delay(process, duration);
    if (signal === undefined) return delayed;
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const endSleep = (): void => {
        signal.removeEventListener("abort", endSleep);
        resolve();
      };
      signal.addEventListener("abort", endSleep);
      void delayed.then(endSleep);
    });
  }

  private removeNextEvent(): PendingEvent | undefined {
    const next = this.pendingEvents.reduce<PendingEvent | undefined>((earliest, candidate) => {
      if (earliest === undefined || candidate.dueAt < earliest.dueAt) return candidate;
      return candidate.dueAt === earliest.dueAt &&
        candidate.insertionOrder < earliest.insertionOrder
        ? candidate
        : earliest;
    }, undefined);
    if (next !== undefined) this.pendingEvents.splice(this.pendingEvents.indexOf(next), 1);
    return next;
  }
}

// Runs the callbacks that need no simulated time to pass.
async function runReadyTasks(): Promise<void> {
  for (let turn = 0; turn < eventLoopTurnsPerEvent; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
