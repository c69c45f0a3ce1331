//! The placement role of this entry VM. It is claimed without a vote (role-claims.ts). The next in
//! rank probes the holder when it hasn't heard of it for a while, and the one after that probes the
//! next in rank, so that the number of probes does not grow with the number of entry VMs.
import { runDetached, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { GossipEntry } from "@lovagebend/membership";
import type { OrderedLoad } from "@lovagebend/placement";
import type { EntryVmDirectory } from "./entry-vm-directory.js";
import { factKeys } from "./peer-message-schema.js";
import { describePlacement, readLoads, type PlacementFact } from "./placement-fact.js";
import { findRoleView, RoleRanking, type RoleClaim, type RoleView } from "./role-claims.js";
import { VmProbe, type ProbePeers, type RoleReply } from "./vm-probe.js";

const placementRole = "placement";
// The interval of an exchange. A dead holder is found after this time, two probes and a check.
const probeInterval: Milliseconds = 400;
// The number of answers after which a holder that denies its claim has lost it: its process is a new
// one. One answer may have crossed the claim.
const notHeldThreshold = 2;
// Facts live for 15 s; the claim must not expire while it is held.
const publishInterval: Milliseconds = 2_000;
// A claim that a probe told of counts without gossip for this long.
const toldClaimLifetime: Milliseconds = 6_000;
// A process that stood still for longer may have lost the role, and first hears of its peers.
const maximumStandstill: Milliseconds = 1_000;
const settlingTime: Milliseconds = 600;
// A holder that was presumed dead is told of its successor for this long.
const tellingTime: Milliseconds = 15_000;
const tellingInterval: Milliseconds = 1_000;
// The time of a fact's publication is known to this accuracy: ages leave out the time on the way, and
// the directory keeps them for a tenth of a second.
const publicationAccuracy: Milliseconds = 400;
// The facts of an entry VM that publishes no more have expired by then.
const exclusionLifetime: Milliseconds = 20_000;

/// Why the role moved to this entry VM.
export enum TakeoverReason {
  /// Nobody has claimed the role.
  First = "first holder",
  /// Neither this entry VM nor others reach the holder.
  Unreachable = "holder unreachable",
  /// The facts of the holder are too old.
  Silent = "holder silent",
  Stopping = "holder stopping",
  /// The holder reaches no target of some service.
  Unlinked = "holder without links to targets",
  /// The holder answers that it doesn't hold the role, since its process is a new one.
  NotHeld = "holder restarted",
}

/// What this entry VM has to do now: place layers, be ready to take over, or nothing.
export enum RolePart {
  Holder = "holder",
  Successor = "successor",
  None = "none",
}

/// What the role needs of the other entry VMs.
export interface RolePeers extends ProbePeers {
  readonly directory: Pick<EntryVmDirectory, "findLive" | "findRoleCandidates" | "listPeers">;
  findFacts(key: string): readonly GossipEntry[];
  publishFact(key: string, value: unknown): void;
}

/// Why an entry VM is left out of the ranking, although its facts are recent.
interface Exclusion {
  readonly at: Milliseconds;
  readonly reason: TakeoverReason.Unreachable | TakeoverReason.NotHeld;
}

interface StatedClaim extends RoleClaim {
  readonly fact: PlacementFact;
  readonly age: Milliseconds;
}

export class PlacementRole {
  /// Called when this entry VM has taken the role over, with the loads that were ordered before.
  onTakeover: (reason: TakeoverReason, loads: readonly OrderedLoad[]) => void = () => undefined;
  private readonly ranking = new RoleRanking(placementRole);
  private readonly claimRanking = new RoleRanking(placementRole);
  private readonly probe: VmProbe;
  private readonly excluded = new Map<string, Exclusion>();
  private ownTerm: number | undefined;
  private toldClaim: (RoleClaim & { readonly at: Milliseconds }) | undefined;
  private view: RoleView = { holder: undefined, claim: undefined, successors: [] };
  private heard: { readonly name: string; readonly at: Milliseconds; readonly notHeld: number } = {
    name: "",
    at: -Infinity,
    notHeld: 0,
  };
  private isProbing = false;
  private toldAt: Milliseconds = -Infinity;
  private checkedAt: Milliseconds | undefined;
  private settledAt: Milliseconds = -Infinity;
  private publishedAt: Milliseconds = -Infinity;
  private publishedLoads = "";

  constructor(
    private readonly ownName: string,
    private readonly peers: RolePeers,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.probe = new VmProbe(ownName, peers, (claim) => this.answerProbe(claim));
  }

  /// The entry VM that holds the role and the one that would take over, as far as this one knows.
  listResponsible(): readonly string[] {
    const { holder, successors } = this.view;
    return [holder, successors[0]].flatMap((name) => name ?? []);
  }

  /// Must be called when this process was delayed, before the timeouts that came meanwhile.
  recordDelay(): void {
    this.probe.recordDelay();
  }

  /// Claims the role or gives it up, and starts the probes that are due. Returns the part of this
  /// entry VM. The caller repeats this about ten times per second.
  check(): RolePart {
    const now = this.clock.monotonicTime();
    if (this.checkedAt !== undefined && now - this.checkedAt > maximumStandstill)
      this.settledAt = now + settlingTime;
    this.checkedAt = now;
    const before = this.view.holder;
    this.view = this.findView(now);
    const { holder, claim, successors } = this.view;
    // Others are asked for their claims first after a standstill.
    const isSettled = now >= this.settledAt;
    if (holder === this.ownName) {
      if (!isSettled) return RolePart.None;
      if (this.ownTerm === undefined || claim?.term !== this.ownTerm) this.take(before, now);
      this.tellExcluded(now);
      return RolePart.Holder;
    }
    if (this.ownTerm !== undefined) {
      this.logger.info("placement role given up", { term: this.ownTerm, holder });
      this.ownTerm = undefined;
    }
    const position = successors.indexOf(this.ownName);
    const watched = position === 0 ? holder : position === 1 ? successors[0] : undefined;
    if (watched !== undefined && isSettled) this.watch(watched, now);
    return position === 0 ? RolePart.Successor : RolePart.None;
  }

  /// Publishes the claim with `loads` if they have changed or the claim is due.
  publish(loads: readonly OrderedLoad[]): void {
    if (this.ownTerm === undefined) return;
    const now = this.clock.monotonicTime();
    const content = loads
      .map(({ engine, layers, state, orders }) =>
        [engine, layers.first, layers.end, state, orders].join(" "),
      )
      .join("\n");
    if (content === this.publishedLoads && now - this.publishedAt < publishInterval) return;
    this.publishedAt = now;
    this.publishedLoads = content;
    this.peers.publishFact(factKeys.placement, describePlacement(this.ownTerm, loads));
  }

  private findView(now: Milliseconds): RoleView {
    const claims = this.listClaims();
    this.endExclusions(claims, now);
    const live = this.peers.directory
      .findRoleCandidates()
      .filter((name) => !this.excluded.has(name));
    const ranked = this.ranking.rank(live);
    const told = this.toldClaim;
    if (told === undefined || now - told.at > toldClaimLifetime || this.excluded.has(told.owner))
      return findRoleView(ranked, claims);
    const withOwner = ranked.includes(told.owner) ? ranked : [...ranked, told.owner];
    return findRoleView(withOwner, [...claims, told]);
  }

  // A fact that was published after the exclusion shows that an unreachable entry VM lives, and a
  // claim that a restarted one holds the role.
  private endExclusions(claims: readonly StatedClaim[], now: Milliseconds): void {
    if (this.excluded.size === 0) return;
    const facts = this.peers.directory.listPeers();
    for (const [name, { at, reason }] of this.excluded) {
      const proofs: readonly { owner: string; age: Milliseconds }[] =
        reason === TakeoverReason.Unreachable ? facts : claims;
      const isRefuted = proofs.some(
        ({ owner, age }) => owner === name && now - age > at + publicationAccuracy,
      );
      if (isRefuted || now - at > exclusionLifetime) this.excluded.delete(name);
    }
  }

  // The claims that are known, also those of entry VMs that are no longer live.
  private listClaims(): readonly StatedClaim[] {
    return this.peers.findFacts(factKeys.placement).map(({ owner, age, value }) => {
      const fact = value as PlacementFact;
      return { owner, term: fact.term, fact, age };
    });
  }

  private get highestTerm(): number {
    const terms = this.listClaims().map(({ term }) => term);
    return Math.max(0, this.toldClaim?.term ?? 0, ...terms);
  }

  private take(before: string | undefined, now: Milliseconds): void {
    const last = this.findLastClaim();
    const previous = [last?.owner, before].find((name) => name !== this.ownName);
    const reason = this.findReason(previous);
    const loads = last === undefined ? [] : readLoads(last.fact, last.age);
    this.ownTerm = this.highestTerm + 1;
    this.publishedAt = now;
    this.publishedLoads = "";
    this.peers.publishFact(factKeys.placement, describePlacement(this.ownTerm, loads));
    this.logger.warn("placement role taken", {
      reason,
      previous,
      term: this.ownTerm,
      loads: loads.length,
      previousHeardBefore: this.getFactAge(previous),
    });
    this.onTakeover(reason, loads);
  }

  // The claim that held the role before, also that of an entry VM that is no longer live.
  private findLastClaim(): StatedClaim | undefined {
    const claims = this.listClaims();
    const owners = claims.map(({ owner }) => owner).sort();
    const { claim } = findRoleView(this.claimRanking.rank(owners), claims);
    return claims.find(({ owner }) => owner === claim?.owner);
  }

  private findReason(previous: string | undefined): TakeoverReason {
    if (previous === undefined) return TakeoverReason.First;
    const exclusion = this.excluded.get(previous);
    if (exclusion !== undefined) return exclusion.reason;
    const fact = this.peers.directory.listPeers().find(({ owner }) => owner === previous);
    if (fact?.value.isStopping === true) return TakeoverReason.Stopping;
    const hasLostLinks = (fact?.value.lostServices?.length ?? 0) > 0;
    return hasLostLinks ? TakeoverReason.Unlinked : TakeoverReason.Silent;
  }

  private getFactAge(name: string | undefined): Milliseconds | undefined {
    return this.peers.directory.listPeers().find(({ owner }) => owner === name)?.age;
  }

  private watch(name: string, now: Milliseconds): void {
    if (this.heard.name !== name) this.heard = { name, at: -Infinity, notHeld: 0 };
    const heardAt = Math.max(this.heard.at, now - (this.getFactAge(name) ?? 0));
    if (this.isProbing || now - heardAt < probeInterval) return;
    this.isProbing = true;
    const probing = this.probeVm(name).finally(() => {
      this.isProbing = false;
    });
    runDetached(this.logger, "probe of an entry VM", probing);
  }

  private async probeVm(name: string): Promise<void> {
    const hasOthers = this.peers.directory
      .findLive()
      .some((other) => other !== name && other !== this.ownName);
    const result = await this.probe.run(name, hasOthers);
    const now = this.clock.monotonicTime();
    switch (result.kind) {
      case "alive":
        this.recordAlive(name, result.reply, now);
        return;
      case "dead":
        this.exclude(name, TakeoverReason.Unreachable, now);
        return;
      case "unclear":
        this.heard = { name, at: now, notHeld: 0 };
    }
  }

  private recordAlive(name: string, { holds, term }: RoleReply, now: Milliseconds): void {
    const isMissing = name === this.view.claim?.owner && !holds && term <= this.highestTerm;
    const notHeld = isMissing ? this.heard.notHeld + 1 : 0;
    this.heard = { name, at: now, notHeld };
    if (notHeld >= notHeldThreshold) this.exclude(name, TakeoverReason.NotHeld, now);
  }

  private exclude(name: string, reason: Exclusion["reason"], now: Milliseconds): void {
    this.excluded.set(name, { at: now, reason });
    this.logger.warn("entry VM excluded from the placement role", { entryVm: name, reason });
  }

  // A holder that was presumed dead may only have stood still. It gives the role up as soon as it
  // hears of the later claim.
  private tellExcluded(now: Milliseconds): void {
    if (this.ownTerm === undefined || now - this.toldAt < tellingInterval) return;
    this.toldAt = now;
    const claim = { owner: this.ownName, term: this.ownTerm };
    for (const [name, { at, reason }] of this.excluded)
      if (reason === TakeoverReason.Unreachable && now - at < tellingTime)
        runDetached(this.logger, "claim to an earlier holder", this.probe.tell(name, claim));
  }

  private answerProbe(claim: RoleClaim | undefined): RoleReply {
    const now = this.clock.monotonicTime();
    if (claim !== undefined && claim.owner !== this.ownName)
      if (claim.term > this.highestTerm) this.toldClaim = { ...claim, at: now };
    const isSuperseded = this.toldClaim !== undefined && this.toldClaim.term > (this.ownTerm ?? 0);
    // A process whose checks have ended does not hold the role, whatever it has claimed.
    const isChecking = this.checkedAt !== undefined && now - this.checkedAt <= maximumStandstill;
    const holds = this.ownTerm !== undefined && !isSuperseded && isChecking;
    return { holds, term: this.highestTerm };
  }
}
