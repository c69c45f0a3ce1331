//! The settings in force at this entry VM. They only move forward and only to what
//! is valid as a whole.
import {
  describeIssues,
  rendezvousOrder,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { SettingsState } from "./settings-state.js";
import type { SettingsStore } from "./settings-store.js";
import { mergeView, type SettingsView } from "./settings-view.js";
import { BehaviorSubject, type Observable } from "rxjs";

const pollPause: Milliseconds = 250;
const pollAge: Milliseconds = 1_000;

export class SettingsKeeper {
  private readonly views: BehaviorSubject<SettingsView>;
  private current = SettingsState.empty;
  private confirmedAt: Milliseconds | undefined;

  constructor(
    private readonly store: SettingsStore,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    const empty = mergeView(SettingsState.empty);
    if (empty.isErr) throw new Error("the empty settings are not valid");
    this.views = new BehaviorSubject(empty.value);
  }

  /// The view in force, now and after each change.
  get changes(): Observable<SettingsView> {
    return this.views;
  }

  get view(): SettingsView {
    return this.views.value;
  }

  get state(): SettingsState {
    return this.current;
  }

  /// How long ago the platform confirmed that the state is the latest, directly or
  /// through a peer; `undefined` if never.
  get confirmedAge(): Milliseconds | undefined {
    return this.confirmedAt === undefined ? undefined : this.clock.monotonic() - this.confirmedAt;
  }

  /// Puts a later state in force. An earlier or equal one changes nothing, and so
  /// does one that is not valid.
  adopt(state: SettingsState): void {
    const later = this.current.later(state);
    if (later === this.current) return;
    const view = mergeView(later);
    if (view.isErr) {
      const issues = describeIssues(view.error);
      this.logger.error("settings not valid", { revision: later.revision, issues });
      return;
    }
    this.current = later;
    this.views.next(view.value);
    this.logger.info("settings in force", { revision: later.revision });
  }

  /// Notes that the platform confirmed `revision` as the latest `age` ago.
  confirm(revision: number, age: Milliseconds): void {
    if (revision !== this.current.revision) return;
    const at = this.clock.monotonic() - age;
    this.confirmedAt = Math.max(this.confirmedAt ?? at, at);
  }

  /// Asks the platform for the latest state. Returns whether it answered.
  async poll(): Promise<boolean> {
    const sentAt = this.clock.monotonic();
    const latest = await this.store.refresh(this.current);
    if (latest === undefined) return false;
    this.adopt(latest);
    this.confirm(latest.revision, this.clock.monotonic() - sentAt);
    return true;
  }

  /// Keeps the state current. The entry VMs of a data centre take turns by rank: one
  /// polls, the others poll only when its news stay away.
  async keepCurrent(
    self: string,
    liveEntryVms: () => readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const rank = rendezvousOrder("settings", liveEntryVms()).indexOf(self);
      const due = pollAge * (1 + Math.max(0, rank));
      if ((this.confirmedAge ?? Infinity) > due) await this.poll();
      await this.clock.sleep(pollPause, signal);
    }
  }
}
