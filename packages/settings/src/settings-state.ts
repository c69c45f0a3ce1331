//! The settings as of one revision: an immutable value that only moves forward.

/// One accepted change: the whole subtree of `team` as of `revision`.
export interface SettingsChange {
  readonly revision: number;
  readonly team: string;
  readonly author: string;
  readonly time: string;
  readonly nonce: string;
  readonly document: unknown;
}

const rememberedChanges = 64;

/// The latest change of each team, and the last few changes, for peers that are
/// a little behind. `revision` counts the changes of all teams.
export class SettingsState {
  static readonly empty = new SettingsState(0, new Map(), []);

  private constructor(
    readonly revision: number,
    readonly teams: ReadonlyMap<string, SettingsChange>,
    private readonly recent: readonly SettingsChange[],
  ) {}

  /// The state of a snapshot read from the store or from a peer.
  static of(revision: number, changes: readonly SettingsChange[]): SettingsState {
    return new SettingsState(revision, new Map(changes.map((change) => [change.team, change])), []);
  }

  /// Adds changes in order. A change that does not follow directly is left out,
  /// so a gap or a repetition never moves the state anywhere but forward.
  with(changes: readonly SettingsChange[]): SettingsState {
    const next = changes.filter((change) => change.revision > this.revision);
    const following = next.filter((change, index) => change.revision === this.revision + index + 1);
    const last = following.at(-1);
    if (last === undefined) return this;
    const teams = new Map(this.teams);
    for (const change of following) teams.set(change.team, change);
    const recent = [...this.recent, ...following].slice(-rememberedChanges);
    return new SettingsState(last.revision, teams, recent);
  }

  /// The later of two states; `this` where they are equal.
  later(other: SettingsState): SettingsState {
    return other.revision > this.revision ? other : this;
  }

  /// The changes after `revision`, or `undefined` where they are no longer
  /// remembered and the whole state has to be sent.
  changesSince(revision: number): readonly SettingsChange[] | undefined {
    if (revision >= this.revision) return [];
    const first = this.recent[0];
    if (first === undefined || first.revision > revision + 1) return undefined;
    return this.recent.filter((change) => change.revision > revision);
  }
}
