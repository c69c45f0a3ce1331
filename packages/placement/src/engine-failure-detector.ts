//! Failure detection for engines that is faster than the expiry of their listed entries. Each
//! engine that some entry VM suspects is probed; two consecutive failed probes mark it as
//! lost until it answers a probe. When many engines fail theirs, other entry VMs have to confirm it.
import { runDetached, type Logger } from "@lovagebend/common";
import type { EngineClient } from "./engine-client.js";

// The number of consecutive failed probes after which an engine counts as lost.
const failureThreshold = 2;
// When a larger share of all engines fails its probes, this entry VM may be the one that is
// partitioned from the network, so that other entry VMs have to confirm the loss.
const maximumUnconfirmedShare = 0.3;

/// Other entry VMs that probe engines for this one.
export interface LossWitnesses {
  /// Has some other entry VMs probe `engines`. Returns, for each that answered, the engines that it
  /// did not reach. Never rejects.
  findUnreachable(engines: readonly string[]): Promise<readonly ReadonlySet<string>[]>;
}

const noWitnesses: LossWitnesses = { findUnreachable: () => Promise.resolve([]) };

export class EngineFailureDetector {
  private readonly failedProbes = new Map<string, number>();
  private readonly probesInProgress = new Set<string>();
  private readonly confirmedLost = new Set<string>();
  /// The engines of all services about which other entry VMs are to be asked next.
  private readonly unconfirmed = new Set<string>();
  private isAskingWitnesses = false;
  private delayCount = 0;

  constructor(
    private readonly engineClient: Pick<EngineClient, "readStatus">,
    private readonly logger: Logger,
    private readonly witnesses: LossWitnesses = noWitnesses,
  ) {}

  /// Starts a probe of each engine in `suspected` and of each engine whose last probe failed,
  /// unless one is in progress. The caller repeats this several times per second.
  probeSuspected(suspected: Iterable<string>): void {
    for (const engine of new Set([...suspected, ...this.failedProbes.keys()])) {
      if (!this.probesInProgress.has(engine))
        runDetached(this.logger, "engine probe", this.probe(engine));
    }
  }

  /// Has failures of the probes in progress left out of account, since this process was delayed: the
  /// timeout of a probe comes before an answer that has arrived meanwhile.
  recordDelay(): void {
    this.delayCount += 1;
  }

  /// Returns the lost engines among `engines`. Where so many fail their probes that a partition of
  /// this entry VM is more likely, these are the ones that other entry VMs don't reach either, as
  /// far as they have answered.
  findLostEngines(engines: readonly string[]): ReadonlySet<string> {
    const lost = engines.filter(
      (engine) => (this.failedProbes.get(engine) ?? 0) >= failureThreshold,
    );
    if (lost.length <= engines.length * maximumUnconfirmedShare) return new Set(lost);
    for (const engine of lost) if (!this.confirmedLost.has(engine)) this.unconfirmed.add(engine);
    if (this.unconfirmed.size > 0 && !this.isAskingWitnesses)
      runDetached(this.logger, "confirmation of lost engines", this.confirm());
    return new Set(lost.filter((engine) => this.confirmedLost.has(engine)));
  }

  /// Removes the state of engines that are not in `engines`, the listed ones.
  retainEngines(engines: readonly string[]): void {
    const listed = new Set(engines);
    for (const engine of this.failedProbes.keys())
      if (!listed.has(engine)) this.forgetFailures(engine);
  }

  private async probe(engine: string): Promise<void> {
    this.probesInProgress.add(engine);
    const { delayCount } = this;
    const status = await this.engineClient.readStatus(engine).finally(() => {
      this.probesInProgress.delete(engine);
    });
    if (status.isOk) {
      if (this.forgetFailures(engine)) this.logger.info("engine answers again", { target: engine });
      return;
    }
    if (delayCount !== this.delayCount) return;
    const consecutiveFailures = (this.failedProbes.get(engine) ?? 0) + 1;
    this.failedProbes.set(engine, consecutiveFailures);
    if (consecutiveFailures === failureThreshold)
      this.logger.warn("engine taken for lost", { target: engine, reason: status.error });
  }

  private forgetFailures(engine: string): boolean {
    this.confirmedLost.delete(engine);
    this.unconfirmed.delete(engine);
    return this.failedProbes.delete(engine);
  }

  // An engine is confirmed lost if another entry VM has answered and none has reached the engine.
  // Without an answer this entry VM is probably partitioned.
  private async confirm(): Promise<void> {
    this.isAskingWitnesses = true;
    const engines = [...this.unconfirmed];
    this.unconfirmed.clear();
    const unreachable = await this.witnesses.findUnreachable(engines).finally(() => {
      this.isAskingWitnesses = false;
    });
    for (const engine of engines) {
      const isConfirmed = unreachable.length > 0 && unreachable.every((set) => set.has(engine));
      if (!isConfirmed || !this.failedProbes.has(engine)) continue;
      this.confirmedLost.add(engine);
      this.logger.warn("engine loss confirmed", { target: engine, witnesses: unreachable.length });
    }
  }
}
