//! Failure detection for engines that is faster than the expiry of their listed entries. Each
//! engine that some entry VM suspects is probed; two consecutive failed probes mark it as
//! lost until it answers a probe.
import { runDetached, type Logger } from "@lovagebend/common";
import type { EngineClient } from "./placement-controller.js";

// The number of consecutive failed probes after which an engine counts as lost.
const failureThreshold = 2;
// When a larger share of all engines fails its probes, this entry VM is probably the one that
// is partitioned from the network, so no engine counts as lost.
const maximumLostShare = 0.3;

export class EngineFailureDetector {
  private readonly failedProbes = new Map<string, number>();
  private readonly probesInProgress = new Set<string>();

  constructor(
    private readonly engineClient: Pick<EngineClient, "readStatus">,
    private readonly logger: Logger,
  ) {}

  /// Starts a probe of each engine in `suspected` and of each engine whose last probe failed,
  /// unless one is in progress. The caller repeats this several times per second.
  probeSuspected(suspected: Iterable<string>): void {
    for (const engine of new Set([...suspected, ...this.failedProbes.keys()])) {
      if (!this.probesInProgress.has(engine))
        runDetached(this.logger, "engine probe", this.probe(engine));
    }
  }

  /// Returns the lost engines among `engines`, or none where so many are lost that a network
  /// partition of this entry VM is more likely.
  findLostEngines(engines: readonly string[]): ReadonlySet<string> {
    const lost = engines.filter(
      (engine) => (this.failedProbes.get(engine) ?? 0) >= failureThreshold,
    );
    return new Set(lost.length <= engines.length * maximumLostShare ? lost : []);
  }

  /// Removes the state of engines that are not in `engines`, the listed ones.
  retainEngines(engines: readonly string[]): void {
    for (const engine of this.failedProbes.keys()) {
      if (!engines.includes(engine)) this.failedProbes.delete(engine);
    }
  }

  private async probe(engine: string): Promise<void> {
    this.probesInProgress.add(engine);
    const status = await this.engineClient.readStatus(engine).finally(() => {
      this.probesInProgress.delete(engine);
    });
    if (status.isOk) {
      if (this.failedProbes.delete(engine))
        this.logger.info("engine answers again", { target: engine });
      return;
    }
    const consecutiveFailures = (this.failedProbes.get(engine) ?? 0) + 1;
    this.failedProbes.set(engine, consecutiveFailures);
    if (consecutiveFailures === failureThreshold)
      this.logger.warn("engine taken for lost", { target: engine, reason: status.error });
  }
}
