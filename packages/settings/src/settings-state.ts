//! The settings of all teams as of one revision, as an immutable value. Derived states never
//! have an earlier revision.

/// A committed change: the complete subtree of `team` as of `revision`.
export interface SettingsChange {
  readonly revision: number;
  readonly team: string;
  readonly author: string;
  readonly time: string;
  readonly nonce: string;
  readonly document: unknown;
}

const maximumRecentChanges = 64;

/// The latest change of each team, and the most recent changes for peers that lag by a few
/// revisions. `revision` counts the changes of all teams.
export class SettingsState {
  static readonly empty = new SettingsState(0, new Map(), []);

  private constructor(
    readonly revision: number,
    readonly teams: ReadonlyMap<string, SettingsChange>,
    private readonly recentChanges: readonly SettingsChange[],
  ) {}

  /// Creates the state from a snapshot that was read from the store or a peer.
  static of(revision: number, changes: readonly SettingsChange[]): SettingsState {
    return new SettingsState(revision, new Map(changes.map((change) => [change.team, change])), []);
  }

  /// Applies changes in order. Repeated changes and changes after a gap are skipped, so the
  /// revision never decreases and never skips a change.
  withChanges(changes: readonly SettingsChange[]): SettingsState {
    const newer = changes.filter((change) => change.revision > this.revision);
    const consecutive = newer.filter(
      (change, index) => change.revision === this.revision + index + 1,
    );
    const last = consecutive.at(-1);
    if (last === undefined) return this;
    const teams = new Map(this.teams);
    for (const change of consecutive) teams.set(change.team, change);
    const recentChanges = [...this.recentChanges, ...consecutive].slice(-maximumRecentChanges);
    return new SettingsState(last.revision, teams, recentChanges);
  }

  /// The later of two states; `this` where they are equal.
  laterOf(other: SettingsState): SettingsState {
    return other.revision > this.revision ? other : this;
  }

  /// The changes after `revision`, or `undefined` where they are no longer held and the
  /// complete state has to be sent.
  changesSince(revision: number): readonly SettingsChange[] | undefined {
    if (revision >= this.revision) return [];
    const oldest = this.recentChanges[0];
    if (oldest === undefined || oldest.revision > revision + 1) return undefined;
    return this.recentChanges.filter((change) => change.revision > revision);
  }
}
