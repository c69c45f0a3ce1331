//! The settings in force at this entry VM: a local copy of the store's state that follows it
//! by polling and by states received from peers. Its revision only increases, and only valid
//! settings are put in force.
import {
  describeIssues,
  rankByRendezvousHash,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { SettingsState } from "./settings-state.js";
import type { SettingsStore } from "./settings-store.js";
import { mergeView, type SettingsView } from "./settings-view.js";
import { BehaviorSubject, type Observable } from "rxjs";

const pollInterval: Milliseconds = 250;
const pollAgePerRank: Milliseconds = 1_000;

export class SettingsReplica {
  private readonly viewSubject: BehaviorSubject<SettingsView>;
  private current = SettingsState.empty;
  private confirmedAt: Milliseconds | undefined;

  constructor(
    private readonly store: SettingsStore,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const empty = mergeView(SettingsState.empty);
    if (empty.isErr) throw new Error("empty settings failed validation");
    this.viewSubject = new BehaviorSubject(empty.value);
  }

  /// Emits the view in force on subscription and after each change.
  get changes(): Observable<SettingsView> {
    return this.viewSubject;
  }

  get view(): SettingsView {
    return this.viewSubject.value;
  }

  get state(): SettingsState {
    return this.current;
  }

  /// The time since the platform confirmed that the state is the latest, to this entry VM or
  /// to a peer; `undefined` if it never did.
  get confirmedAge(): Milliseconds | undefined {
    return this.confirmedAt === undefined
      ? undefined
      : this.clock.monotonicTime() - this.confirmedAt;
  }

  /// Puts a later state in force. A state that is not later is ignored; one that is invalid
  /// is logged and ignored.
  adopt(state: SettingsState): void {
    const next = this.current.laterOf(state);
    if (next === this.current) return;
    const view = mergeView(next);
    if (view.isErr) {
      const issues = describeIssues(view.error);
      this.logger.error("ignoring invalid settings", { revision: next.revision, issues });
      return;
    }
    this.current = next;
    this.viewSubject.next(view.value);
    this.logger.info("settings in force", { revision: next.revision });
  }

  /// Records that the platform confirmed `revision` as the latest `age` ago. Ignored unless
  /// `revision` is the one in force.
  recordConfirmation(revision: number, age: Milliseconds): void {
    if (revision !== this.current.revision) return;
    const at = this.clock.monotonicTime() - age;
    this.confirmedAt = Math.max(this.confirmedAt ?? at, at);
  }

  /// Reads the latest state from the store. Returns whether the store answered.
  async poll(): Promise<boolean> {
    const sentAt = this.clock.monotonicTime();
    const latest = await this.store.refresh(this.current);
    if (latest === undefined) return false;
    this.adopt(latest);
    this.recordConfirmation(latest.revision, this.clock.monotonicTime() - sentAt);
    return true;
  }

  /// Keeps the state current until `signal` aborts. Among the live entry VMs of a data centre,
  /// the first by rendezvous rank polls the store; each later rank polls only if the last
  /// confirmation is older by one more second, as when the entry VMs ranked before it fail.
  async followStore(
    self: string,
    liveEntryVms: () => readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const rank = rankByRendezvousHash("settings", liveEntryVms()).indexOf(self);
      const maximumConfirmedAge = pollAgePerRank * (1 + Math.max(0, rank));
      if ((this.confirmedAge ?? Infinity) > maximumConfirmedAge) await this.poll();
      await this.clock.sleep(pollInterval, signal);
    }
  }
}
