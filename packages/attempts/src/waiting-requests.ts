//! Ends requests that wait for targets which this entry VM doesn't reach any more. A connection that
//! loses its bytes reports nothing, so that a request on it would wait until its deadline.
import { runDetached, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { TargetLinks } from "./target-links.js";
import type { TargetRegistry } from "./target-registry.js";

/// A request that may run more than once and waits for its answer.
export interface WaitingRequest {
  /// Whether the caller has got nothing of the answer.
  isWaiting(): boolean;
  /// The name of the target that has the request, if one does.
  getTarget(): string | undefined;
  /// Ends the request, whose connections are silent.
  end(): void;
}

interface Wait {
  readonly request: WaitingRequest;
  readonly since: Milliseconds;
}

const reviewInterval: Milliseconds = 50;
// With the time of a check, callers with the shortest time limits can still be served by a peer. A target
// that is silent for longer costs a check, and keeps its requests.
const silenceBound: Milliseconds = 250;
// After a review that has found a target which accepts connections.
const reviewPause: Milliseconds = 250;

export class WaitingRequests {
  // In the order of their beginnings.
  private readonly waits = new Map<string, Set<Wait>>();
  // When the requests of a service may be reviewed again, if not at once.
  private readonly pausedUntil = new Map<string, Milliseconds>();

  constructor(
    private readonly targetRegistry: Pick<TargetRegistry, "getLatestResponse">,
    private readonly targetLinks: Pick<
      TargetLinks,
      "isLost" | "isRefused" | "check" | "reachesAny"
    >,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Watches a request of `service` until the returned function is called.
  add(service: string, request: WaitingRequest): () => void {
    const wait = { request, since: this.clock.monotonicTime() };
    const waits = this.waits.get(service) ?? new Set();
    this.waits.set(service, waits.add(wait));
    return () => {
      waits.delete(wait);
      if (waits.size === 0 && this.waits.get(service) === waits) this.waits.delete(service);
    };
  }

  /// Reviews the requests in intervals, until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(reviewInterval, signal);
      for (const service of this.waits.keys()) this.review(service);
    }
  }

  private review(service: string): void {
    const now = this.clock.monotonicTime();
    if (now < (this.pausedUntil.get(service) ?? -Infinity) || !this.isSilent(service)) return;
    if (this.findSilent(service).next().done === true) return;
    this.pausedUntil.set(service, Infinity);
    const reviewing = this.endSilent(service).finally(() => {
      if (this.pausedUntil.get(service) === Infinity) this.pausedUntil.delete(service);
    });
    runDetached(this.logger, "review of requests on silent links", reviewing);
  }

  private async endSilent(service: string): Promise<void> {
    const { targetLinks, logger } = this;
    if (!targetLinks.isLost(service)) await targetLinks.check(service);
    if (!this.mayEnd(service)) return;
    const targets = new Set([...this.findSilent(service)].map((request) => request.getTarget()));
    if (await targetLinks.reachesAny(service, targets)) {
      this.pausedUntil.set(service, this.clock.monotonicTime() + reviewPause);
      return;
    }
    // Other requests may have waited for long enough meanwhile, at targets that were not tried.
    const silent = [...this.findSilent(service)].filter((request) =>
      targets.has(request.getTarget()),
    );
    if (silent.length === 0 || !this.mayEnd(service)) return;
    logger.warn("requests on silent links ended", { service, requests: silent.length });
    for (const request of silent) request.end();
  }

  // Where connections are refused, or some target responds, those that are open may still bring answers.
  private mayEnd(service: string): boolean {
    const { targetLinks } = this;
    return targetLinks.isLost(service) && !targetLinks.isRefused(service) && this.isSilent(service);
  }

  private isSilent(service: string): boolean {
    const silence = this.clock.monotonicTime() - this.targetRegistry.getLatestResponse(service);
    return silence >= silenceBound;
  }

  private *findSilent(service: string): Generator<WaitingRequest> {
    const startedBefore = this.clock.monotonicTime() - silenceBound;
    for (const { request, since } of this.waits.get(service) ?? []) {
      if (since > startedBefore) return;
      if (request.isWaiting()) yield request;
    }
  }
}
