//! A small world in which tasks run on a given clock: time jumps from event to event,
//! and everything that may go either way is drawn from a given list of choices, so
//! that a run can be repeated and shrunk.
import type { Clock, Milliseconds } from "@lovagebend/common";

interface Pending {
  readonly process: FakeProcess;
  readonly order: number;
  readonly resolve: () => void;
  at: Milliseconds;
}

/// A process of the world. While it is frozen nothing reaches it; what was due
/// meanwhile reaches it when it wakes.
export class FakeProcess {
  frozenUntil: Milliseconds = 0;

  constructor(readonly name: string) {}
}

const mostEvents = 20_000;
const turnsPerEvent = 4;

export class World {
  readonly transcript: string[] = [];
  private readonly pending: Pending[] = [];
  private nextOrder = 0;
  private nextChoice = 0;
  private time: Milliseconds = 0;

  /// `choices` are used in order; when they run out, every draw is 0.
  constructor(private readonly choices: readonly number[] = []) {}

  get now(): Milliseconds {
    return this.time;
  }

  /// Draws a number from 0 up to, not including, `bound`.
  draw(bound: number): number {
    const choice = this.choices[this.nextChoice] ?? 0;
    this.nextChoice += 1;
    return choice % bound;
  }

  /// Whether something that happens once in `times` happens now; never when the
  /// choices have run out.
  happens(times: number): boolean {
    return this.draw(times) === times - 1;
  }

  /// Writes a line of the transcript.
  note(line: string): void {
    this.transcript.push(`${String(Math.round(this.time)).padStart(6)}  ${line}`);
  }

  /// Resolves `duration` later, or when `process` wakes, if that is later still.
  after(process: FakeProcess, duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.nextOrder += 1;
      this.pending.push({
        process,
        order: this.nextOrder,
        resolve,
        at: this.time + Math.max(0, duration),
      });
    });
  }

  /// The clock as `process` sees it; it runs `rate` times as fast as the world's.
  clockOf(process: FakeProcess, rate = 1): Clock {
    return {
      monotonic: () => this.time * rate,
      wall: () => this.time * rate,
      sleep: (duration, signal) => this.sleep(process, duration / rate, signal),
    };
  }

  /// Freezes `process` from now on for `duration`.
  freeze(process: FakeProcess, duration: Milliseconds): void {
    process.frozenUntil = Math.max(process.frozenUntil, this.time + duration);
  }

  /// Runs until `task` is done; fails when nothing is left that could end it.
  async run<T>(task: Promise<T>): Promise<T> {
    const state = { done: false };
    const finished = task.finally(() => {
      state.done = true;
    });
    finished.catch(() => undefined);
    for (let count = 0; count < mostEvents; count += 1) {
      await settle();
      if (state.done) return finished;
      const next = this.takeNext();
      if (next === undefined) throw new Error("nothing is left to happen");
      this.time = Math.max(this.time, next.at);
      if (next.process.frozenUntil > this.time) {
        next.at = next.process.frozenUntil;
        this.pending.push(next);
        continue;
      }
      next.resolve();
    }
    throw new Error("too many events");
  }

  private sleep(
    process: FakeProcess,
    duration: Milliseconds,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const slept = this.after(process, duration);
    if (signal === undefined) return slept;
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const end = (): void => {
        signal.removeEventListener("abort", end);
        resolve();
      };
      signal.addEventListener("abort", end);
      void slept.then(end);
    });
  }

  private takeNext(): Pending | undefined {
    const next = this.pending.reduce<Pending | undefined>((best, item) => {
      if (best === undefined || item.at < best.at) return item;
      return item.at === best.at && item.order < best.order ? item : best;
    }, undefined);
    if (next !== undefined) this.pending.splice(this.pending.indexOf(next), 1);
    return next;
  }
}

// Lets everything run that can run without time passing.
async function settle(): Promise<void> {
  for (let turn = 0; turn < turnsPerEvent; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
