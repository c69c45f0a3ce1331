//! The order of the states of a table across restores of the store.
import type { Era } from "./store-era.js";

/// A state of a table. Versions of different eras are not comparable: a store that comes back
/// from a copy gives versions out again.
export interface Revision {
  readonly era: Era;
  readonly version: number;
}

/// Whether `left` is a later state than `right`.
export function isLater(left: Revision, right: Revision): boolean {
  return left.era === right.era ? left.version > right.version : left.era > right.era;
}
