//! The phases of a graceful stop. New requests are accepted at first, since the load balancer
//! still sends some, and then only those that are certain to end in time. The requests in progress
//! go on until the last moment at which an answer of the router's own still reaches the caller
//! before the process is killed.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { CallerServer } from "./caller-server.js";
import type { EntryLimits } from "./entry-dependencies.js";

const pollInterval: Milliseconds = 50;
// Reserved at the end of the shutdown timeout for ending the requests in progress and for callers
// to receive their answers, also on a machine several times slower than usual.
const endMargin: Milliseconds = 600;
// Reserved for the process itself to exit.
const exitMargin: Milliseconds = 200;
// Callers get this time for their answers also when the process comes late to the end.
const minimumFlushTime: Milliseconds = 200;

/// What a stop needs of the server for callers.
type StoppableServer = Pick<
  CallerServer,
  "inProgress" | "endedRequests" | "closeIdleConnections" | "endRequests"
>;

export class GracefulStop {
  private requestedAt: Milliseconds = Infinity;
  private hasEndedRequests = false;

  constructor(
    private readonly limits: Pick<EntryLimits, "shutdownTimeout" | "drainDelay">,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  get isStopping(): boolean {
    return this.requestedAt !== Infinity;
  }

  /// Whether a request that is answered by `deadline`, and has not been offered to a target, is
  /// refused. After the drain delay, all are whose deadline lies behind the end of requests.
  shouldRefuse(deadline: Milliseconds): boolean {
    const now = this.clock.monotonicTime();
    if (this.hasEndedRequests || now >= this.endsRequestsAt) return true;
    return now >= this.requestedAt + this.limits.drainDelay && deadline > this.endsRequestsAt;
  }

  /// When the requests in progress are ended. Infinite unless the entry VM is stopping.
  get endsRequestsAt(): Milliseconds {
    return this.requestedAt + Math.max(0, this.limits.shutdownTimeout - endMargin);
  }

  /// Resolves when no request is in progress after the drain delay, or, shortly before the
  /// shutdown timeout, when all requests have been ended and callers had time to read the answers.
  async run(callerServer: StoppableServer): Promise<void> {
    const { clock, logger, limits } = this;
    this.requestedAt = clock.monotonicTime();
    logger.info("stopping", { inProgress: callerServer.inProgress });
    await clock.sleep(Math.min(limits.drainDelay, this.endsRequestsAt - this.requestedAt));
    await callerServer.closeIdleConnections();
    while (callerServer.inProgress > 0 && clock.monotonicTime() < this.endsRequestsAt) {
      await clock.sleep(pollInterval);
      await callerServer.closeIdleConnections();
    }
    this.hasEndedRequests = true;
    callerServer.endRequests();
    const exitsAt = Math.max(
      this.requestedAt + limits.shutdownTimeout - exitMargin,
      clock.monotonicTime() + minimumFlushTime,
    );
    while (callerServer.inProgress > 0 && clock.monotonicTime() < exitsAt)
      await clock.sleep(pollInterval);
    logger.info("stopped", {
      ended: callerServer.endedRequests,
      inProgress: callerServer.inProgress,
    });
  }
}
