//! The registry of targets on this entry VM. It combines the listed entries of targets with
//! local observations (failures, refusals, reported load), suspicions received from peers
//! and the work that this entry VM has in progress on each target.
import { ListedState, type LayerRange, type ListedTarget } from "@lovagebend/catalog";
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import { EntryHistory, maximumEntryLifetime } from "./entry-history.js";
import type { FirstEventLateness } from "./first-event-lateness.js";
import { ObservedTarget, TargetObservations, type Target } from "./observed-target.js";

/// A target without an entry that is kept in use until `deadline` at least. `fromStore`: this
/// entry VM read the removal from the store itself, and waits for the store if it is unavailable.
interface LapsedEntry {
  readonly deadline: Milliseconds;
  readonly fromStore: boolean;
}

/// An entry of a restored store that is not used before `until` unless it changes.
interface HeldEntry {
  readonly entry: ListedTarget;
  readonly era: number;
  readonly until: Milliseconds;
}

// A failed target is tried again after an exponential backoff.
const initialSuspicionDuration: Milliseconds = 400;
const maximumSuspicionDuration = maximumEntryLifetime;
// About the age of an engine's load report.
const initialRefusalDuration: Milliseconds = 300;
const maximumRefusalDuration: Milliseconds = 2_400;
// Equal to the time for which peers treat a suspicion as new.
const peerSuspicionDuration: Milliseconds = 1_500;
// Entries that expired during a store outage are listed again within two seconds of its end.
const entryGracePeriod: Milliseconds = 2_300;

export class TargetRegistry {
  private readonly listed = new Map<string, ObservedTarget>();
  private readonly observations = new Map<string, TargetObservations>();
  private readonly lapsedEntries = new Map<string, LapsedEntry>();
  private readonly heldEntries = new Map<string, HeldEntry>();
  private readonly history = new EntryHistory();
  /// Whether a service is declared. An entry of another service names no target to use, and
  /// replaces none.
  isDeclared: (service: string) => boolean = () => true;
  /// Whether this entry VM reaches targets of a service. Its suspicions of the others say nothing of them.
  hasLinks: (service: string) => boolean = () => true;
  /// Called when this entry VM starts to suspect a target of `service`; undefined if it is not listed.
  onSuspicion: (service: string | undefined) => void = () => undefined;
  private storeUnavailableSince: Milliseconds | undefined;
  private storeAvailableSince: Milliseconds = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Records the start of a store outage, in which the entries of live targets may expire.
  markStoreUnavailable(): void {
    if (this.storeUnavailableSince !== undefined) return;
    this.storeUnavailableSince = this.clock.monotonicTime();
    this.logger.info("target list stale");
  }

  /// Records the end of a store outage, from which the grace period of expired entries counts.
  markStoreAvailable(): void {
    if (this.storeUnavailableSince === undefined) return;
    const now = this.clock.monotonicTime();
    this.logger.info("target list current", {
      staleFor: Math.round(now - this.storeUnavailableSince),
      grace: entryGracePeriod,
    });
    this.storeUnavailableSince = undefined;
    this.storeAvailableSince = now;
  }

  /// Records that the store has come back from a copy, which may lack the entries of live
  /// targets. Their grace period begins.
  markStoreRestored(): void {
    this.storeAvailableSince = this.clock.monotonicTime();
  }

  /// Applies a new or changed entry of the store's `era`.
  addOrUpdate(entry: ListedTarget, era = 0): void {
    const decision = this.history.judge(entry, era, this.clock.monotonicTime());
    switch (decision.kind) {
      case "list":
        this.list(decision.target);
        return;
      case "hold": {
        const { name, born } = entry;
        this.heldEntries.set(name, { entry, era, until: decision.until });
        this.logger.info("target entry held back", { target: name, born, era });
      }
    }
  }

  private list(target: ListedTarget): void {
    const previous = this.listed.get(target.name);
    this.heldEntries.delete(target.name);
    this.lapsedEntries.delete(target.name);
    const isNewProcess = previous?.born !== target.born;
    if (isNewProcess) this.observations.delete(target.name);
    const observations = this.getObservations(target.name);
    this.listed.set(target.name, new ObservedTarget(target, observations, this.clock));
    this.removePredecessors(target);
    if (isNewProcess || previous.listedState !== target.state)
      this.logger.info("target listed", {
        target: target.name,
        dataCentre: target.dataCentre,
        card: target.card,
        state: target.state,
        born: target.born,
      });
  }

  /// Records that the process of a target that started at `born` has loaded `layers`, according to its
  /// own report. They are used until a later entry of the target arrives, since none does while the
  /// store is silent. Returns whether they are new here.
  recordLoadedLayers(name: string, born: number, layers: LayerRange): boolean {
    const target = this.listed.get(name);
    if (target?.born !== born) return false;
    const { first, end } = target.layers ?? {};
    if (first === layers.first && end === layers.end) return false;
    target.loadedLayers = layers;
    this.logger.info("layers loaded before their entry", { target: name, layers });
    return true;
  }

  /// Records that the process of a target that started at `born` says that it is leaving. It gets no new
  /// work from then on, whatever its entry says.
  recordLeaving(name: string, born: number): void {
    const target = this.listed.get(name);
    if (target?.born !== born || target.state === ListedState.Leaving) return;
    this.getObservations(name).isLeaving = true;
    this.logger.info("target leaves before its entry says so", { target: name, born });
  }

  /// Applies changed declarations of services to the listed entries.
  applyDeclarations(): void {
    for (const target of [...this.listed.values()]) this.removePredecessors(target);
  }

  /// Handles the removal of a target's entry. During a store outage and for a grace period
  /// after it, the target is kept until its entry has had time to be listed again. `peerGrace`
  /// is the remaining grace period of the peer that reported the removal; `undefined` if it was
  /// read from the store. While the store is unavailable here, only the peer can know whether
  /// the entry may return.
  markUnlisted(name: string, peerGrace?: Milliseconds): void {
    this.heldEntries.delete(name);
    if (!this.listed.has(name)) return;
    const fromStore = peerGrace === undefined;
    const storeGrace = fromStore || this.isStoreAvailable ? this.getStoreGrace() : 0;
    const grace = Math.max(storeGrace, Math.min(peerGrace ?? 0, entryGracePeriod));
    if (grace <= 0) {
      this.remove(name);
      return;
    }
    this.lapsedEntries.set(name, { deadline: this.clock.monotonicTime() + grace, fromStore });
    this.logger.info("target entry lapsed", {
      target: name,
      keptFor: Math.round(grace),
      peerGrace: peerGrace === undefined ? undefined : Math.round(peerGrace),
      isStoreAvailable: this.isStoreAvailable,
    });
  }

  /// Removes targets whose grace period has ended, and lists those whose entries were held
  /// back and are still there. Must be called regularly.
  expire(): void {
    const now = this.clock.monotonicTime();
    for (const { entry, era, until } of this.heldEntries.values())
      if (until <= now) this.addOrUpdate(entry, era);
    const isStoreGraceOver = this.getStoreGrace() <= 0;
    for (const [name, { deadline, fromStore }] of this.lapsedEntries)
      if (deadline <= now && (isStoreGraceOver || !fromStore)) this.remove(name);
  }

  /// Returns the remaining grace period of expired entries; 0 if the store has been available
  /// for long enough and no target is waiting for its entry. While the store is unavailable
  /// here, only waiting targets count, since the store may be available to peers.
  getRemainingGrace(): Milliseconds {
    const now = this.clock.monotonicTime();
    return Math.max(
      this.isStoreAvailable || this.lapsedEntries.size > 0 ? this.getStoreGrace() : 0,
      ...[...this.lapsedEntries.values()].map(({ deadline }) => deadline - now),
    );
  }

  /// Whether the store answered this entry VM's last call for the list of targets.
  get isStoreAvailable(): boolean {
    return this.storeUnavailableSince === undefined;
  }

  private getStoreGrace(): Milliseconds {
    if (this.storeUnavailableSince !== undefined) return entryGracePeriod;
    return Math.max(0, this.storeAvailableSince + entryGracePeriod - this.clock.monotonicTime());
  }

  get(name: string): Target | undefined {
    return this.listed.get(name);
  }

  /// Returns whether a target is listed and not leaving. If `born` is given, only the process that
  /// started then counts.
  isStaying(name: string, born?: number): boolean {
    const target = this.listed.get(name);
    if (target === undefined || (born !== undefined && target.born !== born)) return false;
    return target.state === ListedState.Ready;
  }

  /// Returns all listed targets of a service.
  getListedTargets(service: string): Target[] {
    const targets: Target[] = [];
    for (const target of this.listed.values()) if (target.service === service) targets.push(target);
    return targets;
  }

  /// Returns the targets of a service that are not leaving, including suspected ones.
  getStayingTargets(service: string): Target[] {
    return this.getListedTargets(service).filter(({ state }) => state === ListedState.Ready);
  }

  /// Returns the targets of a service that get new work: neither leaving nor suspected.
  getServingTargets(service: string): Target[] {
    const now = this.clock.monotonicTime();
    return this.getStayingTargets(service).filter(({ suspectedUntil }) => suspectedUntil <= now);
  }

  /// Counts a request started on a target, with `promptTokens` prompt tokens among `tokens`.
  /// The returned function must be called once, when the request has ended.
  begin(name: string, tokens: number, promptTokens = 0): () => void {
    const observations = this.getObservations(name);
    observations.prefillRate.add(promptTokens, this.clock.monotonicTime());
    observations.openRequests += 1;
    observations.openTokens += tokens;
    return () => {
      observations.openRequests -= 1;
      observations.openTokens -= tokens;
    };
  }

  /// Returns what is known of the times to the first event on a target. A removed target is forgotten.
  getFirstEventLateness(name: string): FirstEventLateness {
    return this.getObservations(name).firstEventLateness;
  }

  /// Suspects a target after a failure: it gets no new work for the returned duration, which
  /// grows exponentially with consecutive failures.
  suspect(
    name: string,
    reason: string,
    minimumDuration: Milliseconds = initialSuspicionDuration,
  ): Milliseconds {
    const observations = this.getObservations(name);
    const now = this.clock.monotonicTime();
    const duration = Math.min(
      maximumSuspicionDuration,
      Math.max(minimumDuration, initialSuspicionDuration * 2 ** observations.consecutiveFailures),
    );
    // Requests that fail together count as one failure in the backoff.
    if (observations.suspectedUntil <= now) {
      observations.consecutiveFailures += 1;
      this.logger.warn("target doubted", { target: name, reason, pause: duration });
      this.onSuspicion(this.listed.get(name)?.service);
    }
    observations.suspectedUntil = Math.max(observations.suspectedUntil, now + duration);
    return duration;
  }

  /// Records that other entry VMs suspect these targets. Other engines are then preferred, but
  /// the targets are not excluded, because the link of the other entry VM may have failed
  /// instead. Returns whether a suspicion is new, so that it has to be forwarded.
  recordPeerSuspicions(names: readonly string[]): boolean {
    const now = this.clock.monotonicTime();
    let isNew = false;
    for (const name of names) {
      if (!this.listed.has(name)) continue;
      const observations = this.getObservations(name);
      if (observations.peerSuspectedUntil <= now && observations.suspectedUntil <= now)
        isNew = true;
      observations.peerSuspectedUntil = now + peerSuspicionDuration;
    }
    return isNew;
  }

  /// Returns the targets that this entry VM currently suspects, without those that it has no links to.
  getSuspectedTargets(): string[] {
    const now = this.clock.monotonicTime();
    return [...this.observations]
      .filter(([name, { suspectedUntil }]) => {
        const service = this.listed.get(name)?.service;
        return suspectedUntil > now && (service === undefined || this.hasLinks(service));
      })
      .map(([name]) => name);
  }

  /// Forgets what failures have shown of the targets of `service`.
  forgetFailures(service: string): void {
    for (const { name } of this.getListedTargets(service)) {
      const observations = this.getObservations(name);
      observations.suspectedUntil = -Infinity;
      observations.consecutiveFailures = 0;
      observations.refusingUntil = -Infinity;
      observations.consecutiveRefusals = 0;
      observations.firstEventLateness.clear();
    }
  }

  /// Records that a target refused a request without running it, as a full target does.
  /// Others are then preferred for a time that doubles with each refusal until a success.
  recordRefusal(name: string): void {
    const observations = this.getObservations(name);
    const now = this.clock.monotonicTime();
    if (observations.refusingUntil > now) return;
    observations.refusingUntil =
      now +
      Math.min(
        maximumRefusalDuration,
        initialRefusalDuration * 2 ** observations.consecutiveRefusals,
      );
    observations.consecutiveRefusals += 1;
  }

  /// Records a success, which resets the backoffs of failures and refusals.
  recordSuccess(name: string): void {
    const observations = this.getObservations(name);
    observations.consecutiveFailures = 0;
    observations.consecutiveRefusals = 0;
  }

  /// Records the load that a target reported, as the ratio of its running and waiting requests
  /// to its slots.
  recordLoad(name: string, load: number): void {
    this.getObservations(name).load = load;
  }

  /// Records that the head or an event of an answer has come from a target.
  recordResponse(name: string): void {
    this.getObservations(name).respondedAt = this.clock.monotonicTime();
  }

  /// Returns when one of the targets of `service` has last sent the head or a part of an answer.
  getLatestResponse(service: string): Milliseconds {
    return this.getListedTargets(service).reduce(
      (latest, { name }) => Math.max(latest, this.getObservations(name).respondedAt),
      -Infinity,
    );
  }

  // A newer process on the same host and port replaces the earlier one.
  private removePredecessors({ name, service, host, port, born }: ListedTarget): void {
    if (!this.listed.has(name) || !this.isDeclared(service)) return;
    for (const other of [...this.listed.values()]) {
      const isSameAddress = other.host === host && other.port === port;
      if (isSameAddress && other.name !== name && other.born < born) this.remove(other.name);
    }
  }

  private remove(name: string): void {
    this.listed.delete(name);
    this.lapsedEntries.delete(name);
    this.observations.delete(name);
    this.history.recordRemoval(name, this.clock.monotonicTime());
    this.logger.info("target gone", { target: name });
  }

  private getObservations(name: string): TargetObservations {
    const existing = this.observations.get(name);
    if (existing !== undefined) return existing;
    const initial = new TargetObservations();
    this.observations.set(name, initial);
    return initial;
  }
}
