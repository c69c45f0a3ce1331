//! Admission: a request starts, waits in a short queue, or is refused at once
//! because it could not meet its deadline.
import {
  ErrorKind,
  RouterError,
  RunState,
  type Clock,
  type Milliseconds,
} from "@lovagebend/common";
import { Result } from "true-myth";
import { Priority } from "./priority.js";

/// A request that wants to start. `cost` is its expected work in tokens;
/// `deadline` is a monotonic reading.
export interface AdmissionRequest {
  readonly workspace: string;
  readonly priority: Priority;
  readonly cost: number;
  readonly deadline: Milliseconds;
}

/// A place among the running requests; `release` gives it back and may be called
/// again without effect.
export interface Admission {
  readonly waited: Milliseconds;
  release(): void;
}

interface Waiting {
  readonly request: AdmissionRequest;
  readonly since: Milliseconds;
  readonly virtualFinish: number;
  readonly settle: (outcome: Result<Admission, RouterError>) => void;
}

const backgroundFactor = 8;
const leastRetryHintSeconds = 1;
// Expected waits are estimates: a request waits only where it would start in half the
// longest wait, so that few wait in vain.
const waitingShare = 0.5;

/// Bounds the work in progress and the wait for it. Among waiting requests each
/// workspace is served by its weight (start-time fair queueing); background work
/// counts several times its cost, so it yields but never starves.
export class AdmissionQueue {
  private waiting: Waiting[] = [];
  private running = 0;
  private runningCost = 0;
  private virtualTime = 0;
  private readonly lastFinish = new Map<string, number>();
  private workRate = 0;
  private lastRelease: Milliseconds = 0;

  /// `capacity` is the work in tokens that may run at once; `longestWait` bounds
  /// the queue's age.
  constructor(
    private readonly clock: Clock,
    private capacity: number,
    private longestWait: Milliseconds,
    private weightOf: (workspace: string) => number,
  ) {}

  /// Takes on new limits; what waits is looked at again.
  configure(
    capacity: number,
    longestWait: Milliseconds,
    weightOf: (workspace: string) => number,
  ): void {
    this.capacity = capacity;
    this.longestWait = longestWait;
    this.weightOf = weightOf;
    this.startWaiting();
  }

  /// Requests waiting, and how long the first of them has waited.
  get status(): { length: number; age: Milliseconds; running: number } {
    const now = this.clock.monotonic();
    const oldest = this.waiting.reduce((since, item) => Math.min(since, item.since), now);
    return { length: this.waiting.length, age: now - oldest, running: this.running };
  }

  /// Resolves when the request may start, or at once with a refusal that carries
  /// a retry hint. A request whose wait ends without a place was not run.
  async admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Admission, RouterError>> {
    const now = this.clock.monotonic();
    if (this.waiting.length === 0 && this.fits(request)) return Result.ok(this.start(request, 0));
    const expected = this.expectedWait(request);
    if (expected > this.longestWait * waitingShare)
      return Result.err(refusal(ErrorKind.QueueFull, expected));
    if (now + expected >= request.deadline) {
      return Result.err(refusal(ErrorKind.DeadlineUnreachable, expected));
    }
    return this.wait(request, now, signal);
  }

  private wait(
    request: AdmissionRequest,
    since: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<Admission, RouterError>> {
    return new Promise((resolve) => {
      const timer = new AbortController();
      const settle = (outcome: Result<Admission, RouterError>): void => {
        this.waiting = this.waiting.filter((item) => item !== waiting);
        timer.abort();
        signal.removeEventListener("abort", gone);
        resolve(outcome);
      };
      const waiting: Waiting = { request, since, virtualFinish: this.stamp(request), settle };
      const gone = (): void => {
        settle(Result.err(new RouterError(ErrorKind.CallerGone, RunState.NotRun)));
      };
      signal.addEventListener("abort", gone);
      this.waiting.push(waiting);
      const limit = Math.min(this.longestWait, request.deadline - since);
      void this.clock.sleep(limit, timer.signal).then(() => {
        if (timer.signal.aborted) return;
        settle(Result.err(refusal(ErrorKind.QueueFull, this.longestWait)));
      });
    });
  }

  private fits(request: AdmissionRequest): boolean {
    return this.running === 0 || this.runningCost + request.cost <= this.capacity;
  }

  private start(request: AdmissionRequest, waited: Milliseconds): Admission {
    if (this.running === 0) this.lastRelease = this.clock.monotonic();
    this.running += 1;
    this.runningCost += request.cost;
    let released = false;
    return {
      waited,
      release: () => {
        if (released) return;
        released = true;
        this.running -= 1;
        this.runningCost -= request.cost;
        this.measure(request.cost);
        this.startWaiting();
      },
    };
  }

  private startWaiting(): void {
    for (;;) {
      const next = this.waiting.reduce<Waiting | undefined>(
        (best, item) =>
          best === undefined || item.virtualFinish < best.virtualFinish ? item : best,
        undefined,
      );
      if (next === undefined || !this.fits(next.request)) return;
      this.virtualTime = Math.max(this.virtualTime, next.virtualFinish);
      const waited = this.clock.monotonic() - next.since;
      next.settle(Result.ok(this.start(next.request, waited)));
    }
  }

  private stamp(request: AdmissionRequest): number {
    const factor = request.priority === Priority.Background ? backgroundFactor : 1;
    const begin = Math.max(this.virtualTime, this.lastFinish.get(request.workspace) ?? 0);
    const finish = begin + (request.cost * factor) / this.weightOf(request.workspace);
    this.lastFinish.set(request.workspace, finish);
    return finish;
  }

  private expectedWait(request: AdmissionRequest): Milliseconds {
    if (this.workRate === 0) return 0;
    const ahead = this.waiting.reduce((sum, item) => sum + item.request.cost, 0);
    const excess = this.runningCost + ahead + request.cost - this.capacity;
    return Math.max(0, excess / this.workRate);
  }

  // An exponentially weighted mean of the work finished per millisecond, over
  // the time in which there was work.
  private measure(cost: number): void {
    const now = this.clock.monotonic();
    const elapsed = now - this.lastRelease;
    this.lastRelease = now;
    if (elapsed <= 0) return;
    const window: Milliseconds = 1_000;
    const weight = 1 - Math.exp(-elapsed / window);
    this.workRate += weight * (cost / elapsed - this.workRate);
  }
}

function refusal(kind: ErrorKind, wait: Milliseconds): RouterError {
  const seconds = Math.max(leastRetryHintSeconds, Math.ceil(wait / 1_000));
  return new RouterError(kind, RunState.NotRun, "", seconds);
}
