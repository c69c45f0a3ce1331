//! The era of the store: a number that rises each time the store comes back from a copy. Such
//! a store has lost its latest transactions, and gives their versions out again.
import type { Logger } from "@lovagebend/common";
import { Subject, type Observable } from "rxjs";

/// A store that names no era is in `initialEra`.
export type Era = number;
export const initialEra: Era = 0;
// The era of a store that names eras and has never been restored.
const firstNamedEra: Era = 1;
// Far above the number of restores in the life of a store.
const maximumEra: Era = 999_999;

/// Whether a value from outside can be an era. A wrong one that is accepted makes all answers of
/// an earlier era count as late.
export function isEra(value: unknown): value is Era {
  return Number.isSafeInteger(value) && Number(value) >= initialEra && Number(value) <= maximumEra;
}

/// `source` is who reported the new era: the store or a peer.
export interface EraChange {
  readonly before: Era;
  readonly era: Era;
  readonly source: string;
}

export const storeSource = "store";

/// The highest era that this process has heard of. It never decreases.
export class StoreEra {
  private known: Era | undefined;
  private reportedFirst: Era | undefined;
  private didLastAnswerNameEra = false;
  private readonly changesSubject = new Subject<EraChange>();

  constructor(private readonly logger: Logger) {}

  get current(): Era {
    return this.known ?? initialEra;
  }

  /// The era of rows of which none is named. It is that in which this process started, unless
  /// the store has been restored before: then the rows may be of any earlier era.
  get unnamed(): Era {
    const first = this.reportedFirst ?? this.current;
    return first <= firstNamedEra ? first : initialEra;
  }

  /// Emits when the store has come back from a copy since this process started. The first era
  /// that is reported is no change.
  get changes(): Observable<EraChange> {
    return this.changesSubject;
  }

  /// Records the era that an answer of the store names. An answer that names none counts as of
  /// the current era. Returns the era of the answer, or `undefined` if the answer is late: of
  /// an era before the current one.
  observeAnswer(named: Era | undefined): Era | undefined {
    if (this.didLastAnswerNameEra && named === undefined)
      this.logger.warn("store names no era", { era: this.current });
    this.didLastAnswerNameEra = named !== undefined;
    const era = named ?? this.current;
    if (era < this.current) {
      this.logger.warn("late answer of the store discarded", { era, current: this.current });
      return undefined;
    }
    this.raise(era, storeSource);
    return era;
  }

  /// Records an era that a peer has heard of.
  observePeer(era: Era, peer: string): void {
    this.raise(era, peer);
  }

  private raise(era: Era, source: string): void {
    const before = this.known;
    if (before !== undefined && era <= before) return;
    this.known = era;
    this.reportedFirst ??= era;
    if (before !== undefined) this.changesSubject.next({ before, era, source });
  }
}
