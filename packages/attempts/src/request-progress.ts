//! Records how far a request has come, for the log line of a request that ends without an answer.

/// `waiting` is the choice of a target, with its waits for grants, for missing layers and for the
/// retry budget. `offered` lasts from the dispatch to `target` until its outcome is known.
export type RequestStage =
  | { readonly kind: "reading" }
  | { readonly kind: "read" }
  | { readonly kind: "waiting" }
  | { readonly kind: "offered"; readonly target: string };

export class RequestProgress {
  private currentStage: RequestStage = { kind: "reading" };
  private latestTarget: string | undefined;
  private latestFailure: string | undefined;
  private runCount = 0;

  get stage(): RequestStage {
    return this.currentStage;
  }

  /// The target that has the request, if one does.
  get currentTarget(): string | undefined {
    return this.currentStage.kind === "offered" ? this.currentStage.target : undefined;
  }

  /// The target of the latest dispatch.
  get lastTarget(): string | undefined {
    return this.latestTarget;
  }

  /// Why the latest dispatch gave no whole answer; `undefined` if it did, is not over, or did not
  /// begin.
  get lastFailure(): string | undefined {
    return this.latestFailure;
  }

  /// The number of targets that may have run the request.
  get runs(): number {
    return this.runCount;
  }

  /// Records that the whole request has been read.
  recordRead(): void {
    this.currentStage = { kind: "read" };
  }

  recordWait(): void {
    this.currentStage = { kind: "waiting" };
  }

  recordOffer(target: string): void {
    this.currentStage = { kind: "offered", target };
    this.latestTarget = target;
    this.latestFailure = undefined;
  }

  /// Records that `targets` more may have run the request.
  recordRun(targets = 1): void {
    this.runCount += targets;
  }

  recordFailure(reason: string): void {
    this.currentStage = { kind: "waiting" };
    this.latestFailure = reason;
  }
}
