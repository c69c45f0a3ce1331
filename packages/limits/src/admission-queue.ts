//! Admission control with a bounded queue: a request starts at once, waits, or is refused
//! immediately when the queue is too long or when it could not meet its deadline.
import {
  ErrorKind,
  RouterError,
  RunState,
  type Clock,
  type Milliseconds,
} from "@lovagebend/common";
import { Result } from "true-myth";
import { Priority } from "./priority.js";

/// A request that asks for admission. `cost` is its expected work in tokens; `deadline` is a
/// time of the monotonic clock.
export interface AdmissionRequest {
  readonly workspace: string;
  readonly priority: Priority;
  readonly cost: number;
  readonly deadline: Milliseconds;
}

/// The admission of a running request. `waitTime` is the time that it spent in the queue.
/// `release` returns its capacity; further calls have no effect.
export interface Admission {
  readonly waitTime: Milliseconds;
  release(): void;
}

interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly waitingSince: Milliseconds;
  readonly virtualFinishTime: number;
  readonly settle: (outcome: Result<Admission, RouterError>) => void;
}

const backgroundCostFactor = 8;
const minimumRetryAfterSeconds = 1;
// The expected wait is an estimate. A request is queued only if it is at most half of the
// maximum wait, so that few queued requests time out.
const expectedWaitShare = 0.5;

/// Bounds the work in progress and the time in the queue. The waiting request with the lowest
/// virtual finish time starts first, which divides the capacity among workspaces by weight
/// (self-clocked fair queueing). The cost of background work is multiplied by
/// `backgroundCostFactor`, so it has lower priority but does not starve.
export class AdmissionQueue {
  private waitingRequests: WaitingRequest[] = [];
  private runningCount = 0;
  private runningCost = 0;
  private virtualTime = 0;
  private readonly lastVirtualFinishTimes = new Map<string, number>();
  private costPerMillisecond = 0;
  private lastReleaseTime: Milliseconds = 0;

  /// `capacity` is the work in tokens that may run concurrently; `maximumWait` bounds the time
  /// that a request spends in the queue.
  constructor(
    private readonly clock: Clock,
    private capacity: number,
    private maximumWait: Milliseconds,
    private weightOf: (workspace: string) => number,
  ) {}

  /// Applies new limits and starts the waiting requests that they allow.
  configure(
    capacity: number,
    maximumWait: Milliseconds,
    weightOf: (workspace: string) => number,
  ): void {
    this.capacity = capacity;
    this.maximumWait = maximumWait;
    this.weightOf = weightOf;
    this.startWaiting();
  }

  /// The number of waiting requests, the time that the oldest of them has waited, and the
  /// number of running requests.
  get status(): { length: number; age: Milliseconds; running: number } {
    const now = this.clock.monotonicTime();
    const oldestSince = this.waitingRequests.reduce(
      (earliest, item) => Math.min(earliest, item.waitingSince),
      now,
    );
    return {
      length: this.waitingRequests.length,
      age: now - oldestSince,
      running: this.runningCount,
    };
  }

  /// Resolves when the request may start, or with an error when it is refused, when its wait
  /// times out or when `signal` aborts. In all of these cases the request has not run.
  /// Refusals and timeouts state after how many seconds to retry.
  async admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Admission, RouterError>> {
    const now = this.clock.monotonicTime();
    if (this.waitingRequests.length === 0 && this.hasCapacityFor(request))
      return Result.ok(this.start(request, 0));
    const expectedWait = this.estimateWait(request);
    if (expectedWait > this.maximumWait * expectedWaitShare)
      return Result.err(createRefusal(ErrorKind.QueueFull, expectedWait));
    if (now + expectedWait >= request.deadline) {
      return Result.err(createRefusal(ErrorKind.DeadlineUnreachable, expectedWait));
    }
    return this.enqueue(request, now, signal);
  }

  private enqueue(
    request: AdmissionRequest,
    waitingSince: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<Admission, RouterError>> {
    return new Promise((resolve) => {
      const timer = new AbortController();
      const settle = (outcome: Result<Admission, RouterError>): void => {
        this.waitingRequests = this.waitingRequests.filter((item) => item !== waiting);
        timer.abort();
        signal.removeEventListener("abort", onAbort);
        resolve(outcome);
      };
      const waiting: WaitingRequest = {
        request,
        waitingSince,
        virtualFinishTime: this.assignVirtualFinishTime(request),
        settle,
      };
      const onAbort = (): void => {
        settle(Result.err(new RouterError(ErrorKind.CallerGone, RunState.NotRun)));
      };
      signal.addEventListener("abort", onAbort);
      this.waitingRequests.push(waiting);
      const limit = Math.min(this.maximumWait, request.deadline - waitingSince);
      void this.clock.sleep(limit, timer.signal).then(() => {
        if (timer.signal.aborted) return;
        settle(Result.err(createRefusal(ErrorKind.QueueFull, this.maximumWait)));
      });
    });
  }

  private hasCapacityFor(request: AdmissionRequest): boolean {
    return this.runningCount === 0 || this.runningCost + request.cost <= this.capacity;
  }

  private start(request: AdmissionRequest, waitTime: Milliseconds): Admission {
    if (this.runningCount === 0) this.lastReleaseTime = this.clock.monotonicTime();
    this.runningCount += 1;
    this.runningCost += request.cost;
    let isReleased = false;
    return {
      waitTime,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.runningCount -= 1;
        this.runningCost -= request.cost;
        this.recordCompletedCost(request.cost);
        this.startWaiting();
      },
    };
  }

  private startWaiting(): void {
    for (;;) {
      const next = this.waitingRequests.reduce<WaitingRequest | undefined>(
        (best, item) =>
          best === undefined || item.virtualFinishTime < best.virtualFinishTime ? item : best,
        undefined,
      );
      if (next === undefined || !this.hasCapacityFor(next.request)) return;
      this.virtualTime = Math.max(this.virtualTime, next.virtualFinishTime);
      const waitTime = this.clock.monotonicTime() - next.waitingSince;
      next.settle(Result.ok(this.start(next.request, waitTime)));
    }
  }

  private assignVirtualFinishTime(request: AdmissionRequest): number {
    const costFactor = request.priority === Priority.Background ? backgroundCostFactor : 1;
    const virtualStartTime = Math.max(
      this.virtualTime,
      this.lastVirtualFinishTimes.get(request.workspace) ?? 0,
    );
    const finishTime =
      virtualStartTime + (request.cost * costFactor) / this.weightOf(request.workspace);
    this.lastVirtualFinishTimes.set(request.workspace, finishTime);
    return finishTime;
  }

  private estimateWait(request: AdmissionRequest): Milliseconds {
    if (this.costPerMillisecond === 0) return 0;
    const waitingCost = this.waitingRequests.reduce((sum, item) => sum + item.request.cost, 0);
    const excessCost = this.runningCost + waitingCost + request.cost - this.capacity;
    return Math.max(0, excessCost / this.costPerMillisecond);
  }

  // Updates the exponentially weighted mean of the work completed per millisecond. Time
  // without running requests does not count.
  private recordCompletedCost(cost: number): void {
    const now = this.clock.monotonicTime();
    const elapsed = now - this.lastReleaseTime;
    this.lastReleaseTime = now;
    if (elapsed <= 0) return;
    const timeConstant: Milliseconds = 1_000;
    const weight = 1 - Math.exp(-elapsed / timeConstant);
    this.costPerMillisecond += weight * (cost / elapsed - this.costPerMillisecond);
  }
}

function createRefusal(kind: ErrorKind, wait: Milliseconds): RouterError {
  const seconds = Math.max(minimumRetryAfterSeconds, Math.ceil(wait / 1_000));
  return new RouterError(kind, RunState.NotRun, "", seconds);
}
