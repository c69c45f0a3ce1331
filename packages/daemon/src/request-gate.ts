//! Counts the requests in progress, so that a planned stop can wait for all of them.
export class RequestGate {
  private open = 0;
  private refusing = false;
  private readonly idleWaiters: (() => void)[] = [];
  private readonly cut = new AbortController();

  /// Requests in progress.
  get inProgress(): number {
    return this.open;
  }

  /// Aborted when requests in progress are cut off after all.
  get cutSignal(): AbortSignal {
    return this.cut.signal;
  }

  /// Lets a request in, or not once closed. Every `true` needs one `leave`.
  enter(): boolean {
    if (this.refusing) return false;
    this.open += 1;
    return true;
  }

  leave(): void {
    this.open -= 1;
    this.release();
  }

  /// Lets no more requests in and resolves when the last one has left.
  close(): Promise<void> {
    this.refusing = true;
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
      this.release();
    });
  }

  /// Ends the requests in progress; their callers are told how to resume.
  cutOff(): void {
    this.cut.abort();
  }

  private release(): void {
    if (!this.refusing || this.open > 0) return;
    for (const resolve of this.idleWaiters.splice(0)) resolve();
  }
}
