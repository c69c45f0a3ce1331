//! The request limits that targets name in their answers, as one entry VM knows them from
//! answers that it has forwarded and from its peers.
import type { Milliseconds } from "@lovagebend/common";

/// A limit in requests per second from all entry VMs together; `undefined` if the target no
/// longer names one. `born` identifies the process of the target, `at` is the monotonic time of
/// the answer.
export interface NamedLimit {
  readonly target: string;
  readonly born: number;
  readonly limit: number | undefined;
  readonly at: Milliseconds;
}

// The targets confirm a limit with each answer, so that a fact that is older than this comes
// again from an entry VM that uses the target.
const factLifetime: Milliseconds = 10_000;

export class NamedLimits {
  private readonly limits = new Map<string, NamedLimit>();
  /// The times at which answers to this entry VM last confirmed a limit.
  private readonly confirmedAt = new Map<string, Milliseconds>();

  /// Records the limit header of an answer to a request that was sent at `sentAt`. An answer
  /// without it lifts the limit, unless it overtook an answer that named the limit. A value that
  /// is not valid is ignored. Returns whether the limit changed.
  recordAnswer(
    target: string,
    born: number,
    header: string | undefined,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const known = this.get(target, born);
    if (header === undefined) {
      if (known?.limit === undefined || sentAt < known.at) return false;
      return this.set({ target, born, limit: undefined, at: now }, now);
    }
    const limit = parseLimit(header);
    if (limit === undefined) return false;
    return this.set({ target, born, limit, at: now }, now);
  }

  /// Merges a limit that a peer knows; the latest process and the latest answer count. Returns
  /// whether the limit changed.
  merge(incoming: NamedLimit): boolean {
    const known = this.limits.get(incoming.target);
    const isNewer =
      known === undefined ||
      incoming.born > known.born ||
      (incoming.born === known.born && incoming.at > known.at);
    if (!isNewer) return false;
    this.limits.set(incoming.target, incoming);
    return known?.limit !== incoming.limit;
  }

  /// The limit of a target's current process; `undefined` if it names none.
  getLimit(target: string, born: number): number | undefined {
    return this.get(target, born)?.limit;
  }

  /// The limits that answers to this entry VM have lately confirmed, for its peers.
  listOwn(now: Milliseconds): NamedLimit[] {
    return [...this.limits.values()].filter(
      ({ target }) => now - (this.confirmedAt.get(target) ?? -Infinity) <= factLifetime,
    );
  }

  /// Removes the limits of targets for which `isListed` returns false.
  retain(isListed: (target: string) => boolean): void {
    for (const target of this.limits.keys()) {
      if (isListed(target)) continue;
      this.limits.delete(target);
      this.confirmedAt.delete(target);
    }
  }

  private get(target: string, born: number): NamedLimit | undefined {
    const known = this.limits.get(target);
    return known?.born === born ? known : undefined;
  }

  private set(limit: NamedLimit, now: Milliseconds): boolean {
    const known = this.get(limit.target, limit.born);
    this.limits.set(limit.target, limit);
    this.confirmedAt.set(limit.target, now);
    return known?.limit !== limit.limit;
  }
}

// Repeated headers arrive joined by commas; the smallest valid value counts.
function parseLimit(header: string): number | undefined {
  const values = header
    .split(",")
    .map((value) => value.trim())
    .filter((value) => /^\d+(\.\d+)?$/.test(value))
    .map(Number)
    .filter(Number.isFinite);
  return values.length === 0 ? undefined : Math.min(...values);
}
