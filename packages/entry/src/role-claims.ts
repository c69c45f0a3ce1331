//! Who holds a role that entry VMs claim. A claim has a term, which is one above all terms that its
//! owner knew of. The live claim with the highest term holds the role, so that an earlier holder that
//! comes back gives it up as soon as it sees the later claim, and that a VM that starts takes it from
//! nobody. Without a claim the first VM by rendezvous hashing may claim it.
import { rankByRendezvousHash } from "@lovagebend/common";

export interface RoleClaim {
  readonly owner: string;
  readonly term: number;
}

/// The part of an entry VM in a role. `holder` is the one that holds the role or may claim it, and
/// `claim` its claim if it has one. `successors` are the other live ones in the order in which they
/// would take it.
export interface RoleView {
  readonly holder: string | undefined;
  readonly claim: RoleClaim | undefined;
  readonly successors: readonly string[];
}

/// Returns who holds a role among the live entry VMs, ranked for the role by `rankRole`.
export function findRoleView(ranked: readonly string[], claims: readonly RoleClaim[]): RoleView {
  const claim = claims
    .filter(({ owner }) => ranked.includes(owner))
    .sort(
      (left, right) =>
        right.term - left.term || ranked.indexOf(left.owner) - ranked.indexOf(right.owner),
    )[0];
  const holder = claim?.owner ?? ranked[0];
  return { holder, claim, successors: ranked.filter((name) => name !== holder) };
}

/// Ranks entry VMs for a role. The ranking is computed again only when they have changed.
export class RoleRanking {
  private candidates = "";
  private ranked: readonly string[] = [];

  constructor(private readonly role: string) {}

  rank(candidates: readonly string[]): readonly string[] {
    const joined = candidates.join("\n");
    if (joined !== this.candidates) this.ranked = rankByRendezvousHash(this.role, candidates);
    this.candidates = joined;
    return this.ranked;
  }
}
