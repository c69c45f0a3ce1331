//! Counts the requests in progress, so that a graceful stop can wait for all of them.
export class RequestGate {
  private inProgressCount = 0;
  private isClosed = false;
  private readonly idleWaiters: (() => void)[] = [];
  private readonly abortController = new AbortController();

  get inProgress(): number {
    return this.inProgressCount;
  }

  /// Aborted when requests in progress are to end before they complete.
  get abortSignal(): AbortSignal {
    return this.abortController.signal;
  }

  /// Admits a request and returns `true`, or returns `false` once the gate is closed. Each
  /// admitted request needs one call of `leave`.
  tryEnter(): boolean {
    if (this.isClosed) return false;
    this.inProgressCount += 1;
    return true;
  }

  leave(): void {
    this.inProgressCount -= 1;
    this.resolveIfIdle();
  }

  /// Admits no more requests and resolves when none is in progress.
  close(): Promise<void> {
    this.isClosed = true;
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
      this.resolveIfIdle();
    });
  }

  /// Ends the requests in progress. Their callers receive an error from which they can
  /// resume.
  abortRequests(): void {
    this.abortController.abort();
  }

  private resolveIfIdle(): void {
    if (!this.isClosed || this.inProgressCount > 0) return;
    for (const resolve of this.idleWaiters.splice(0)) resolve();
  }
}
