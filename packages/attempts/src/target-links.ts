//! Whether this entry VM reaches the targets of a service itself. A target that fails is suspected; if
//! no target accepts a connection, the links of this entry VM may be at fault instead, and others may
//! reach them all.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import { ProbeResult } from "@lovagebend/forwarding";
import type { Target } from "./observed-target.js";
import type { TargetRegistry } from "./target-registry.js";

/// Tries to connect to a target. Must not reject.
export type LinkProbe = (target: Target) => Promise<ProbeResult>;

interface LostLinks {
  readonly since: Milliseconds;
  /// Whether connections are refused, so that an attempt ends at once.
  readonly isRefused: boolean;
  /// Whether the loss has lasted so long that others are told of it.
  readonly isLasting: boolean;
}

const probedTargets = 3;
// After a check that found the links open. A single target that fails starts no further ones.
const checkPause: Milliseconds = 250;
const lostCheckInterval: Milliseconds = 250;
// When many targets end at once, a few checks may find only those.
const reportDelay: Milliseconds = 1_000;

export class TargetLinks {
  /// Called when `listLost` changes.
  onChange: () => void = () => undefined;
  private readonly lost = new Map<string, LostLinks>();
  private readonly checks = new Map<string, Promise<void>>();
  private readonly openAt = new Map<string, Milliseconds>();

  constructor(
    private readonly targetRegistry: Pick<
      TargetRegistry,
      "getListedTargets" | "getStayingTargets" | "forgetFailures"
    >,
    private readonly probe: LinkProbe,
    private readonly dataCentre: string,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly random: () => number = Math.random,
  ) {}

  /// Whether this entry VM reaches no target of `service`.
  isLost(service: string): boolean {
    return this.lost.has(service);
  }

  /// Whether the links to `service` are lost and an attempt ends at once.
  isRefused(service: string): boolean {
    return this.lost.get(service)?.isRefused === true;
  }

  /// The services whose targets this entry VM hasn't reached for some time, so that others should know.
  listLost(): string[] {
    return [...this.lost].filter(([, { isLasting }]) => isLasting).map(([service]) => service);
  }

  /// Checks the links to a service after a failure of one of its targets. Concurrent checks are shared.
  check(service: string): Promise<void> {
    const existing = this.checks.get(service);
    if (existing !== undefined) return existing;
    const isRecent =
      this.clock.monotonicTime() - (this.openAt.get(service) ?? -Infinity) < checkPause;
    if (isRecent && !this.lost.has(service)) return Promise.resolve();
    const check = this.probeTargets(service).finally(() => {
      this.checks.delete(service);
    });
    this.checks.set(service, check);
    return check;
  }

  /// Whether one of the targets `names` of a service accepts a connection. What waits there may still be
  /// answered, whatever targets a check has drawn.
  async reachesAny(service: string, names: ReadonlySet<string | undefined>): Promise<boolean> {
    const targets = this.targetRegistry
      .getListedTargets(service)
      .filter(({ name }) => names.has(name));
    const results = await collectUntilConnected(targets.map((target) => this.probe(target)));
    return results.includes(ProbeResult.Connected);
  }

  /// Checks lost links in intervals, until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(lostCheckInterval * (0.75 + this.random() / 2), signal);
      await Promise.all([...this.lost.keys()].map((service) => this.check(service)));
    }
  }

  private async probeTargets(service: string): Promise<void> {
    const targets = this.chooseTargets(service);
    const results = await collectUntilConnected(targets.map((target) => this.probe(target)));
    if (results.length === 0 || results.includes(ProbeResult.Connected)) this.recordOpen(service);
    else this.recordLost(service, !results.includes(ProbeResult.Silent), results.length);
  }

  // One target of this data centre and one of another are among them, since a partition between data
  // centres leaves links to some. Those that are suspected come last.
  private chooseTargets(service: string): Target[] {
    const now = this.clock.monotonicTime();
    const isSuspected = ({ suspectedUntil }: Target): boolean => suspectedUntil > now;
    const drawn = this.targetRegistry
      .getStayingTargets(service)
      .map((target) => ({ target, order: this.random() + Number(isSuspected(target)) }))
      .sort((left, right) => left.order - right.order)
      .map(({ target }) => target);
    const isLocal = ({ dataCentre }: Target): boolean => dataCentre === this.dataCentre;
    const local = drawn.find(isLocal);
    const remote = drawn.find((target) => !isLocal(target));
    const others = drawn.filter((target) => target !== local && target !== remote);
    return [local, remote, ...others]
      .filter((target) => target !== undefined)
      .slice(0, probedTargets);
  }

  private recordOpen(service: string): void {
    const now = this.clock.monotonicTime();
    this.openAt.set(service, now);
    const lost = this.lost.get(service);
    if (lost === undefined) return;
    this.lost.delete(service);
    // What was observed of the targets meanwhile was the fault of the links.
    this.targetRegistry.forgetFailures(service);
    this.logger.warn("links to targets open", { service, lostFor: Math.round(now - lost.since) });
    if (lost.isLasting) this.onChange();
  }

  private recordLost(service: string, isRefused: boolean, probed: number): void {
    const known = this.lost.get(service);
    const now = this.clock.monotonicTime();
    const since = known?.since ?? now;
    const isLasting = now - since >= reportDelay;
    this.lost.set(service, { since, isRefused, isLasting });
    if (known === undefined)
      this.logger.warn("links to targets lost", { service, probed, isRefused });
    if (isLasting && known?.isLasting !== true) this.onChange();
  }
}

// Resolves with the results so far once one has connected, and else with all. A request that waits for
// the check should not wait for targets that are silent.
function collectUntilConnected(probes: readonly Promise<ProbeResult>[]): Promise<ProbeResult[]> {
  return new Promise((resolve) => {
    const results: ProbeResult[] = [];
    if (probes.length === 0) resolve(results);
    for (const probe of probes)
      void probe.then((result) => {
        results.push(result);
        if (result === ProbeResult.Connected || results.length === probes.length) resolve(results);
      });
  });
}
