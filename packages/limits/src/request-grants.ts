//! Grants of requests to targets that name a limit. One entry VM grants the requests of all to a
//! target, so that the limit follows the demand of each and is shared exactly. The others hold
//! what was granted for a moment, and remember until when nothing more is granted.
import type { Milliseconds } from "@lovagebend/common";

/// `granted` requests may be sent. If it is 0, more are granted after `retryAfter`.
export interface Grant {
  readonly granted: number;
  readonly retryAfter: Milliseconds;
}

/// What an entry VM may do without asking: send one request, ask for a grant, or neither until
/// `retryAfter` has passed.
export type LocalGrant =
  | { readonly kind: "granted" }
  | { readonly kind: "unknown" }
  | { readonly kind: "denied"; readonly retryAfter: Milliseconds };

interface Bucket {
  readonly born: number;
  readonly tokens: number;
  readonly at: Milliseconds;
}

interface HeldGrant {
  readonly born: number;
  readonly remaining: number;
  readonly expiresAt: Milliseconds;
  readonly deniedUntil: Milliseconds;
}

// The rest allows for requests in transit and for a second granting entry VM while the entry VMs
// disagree on which are live.
const grantedShare = 0.9;
// A target with a limit of 0 is tried at this rate. Otherwise its limit would never be lifted.
const minimumRequestsPerSecond = 0.2;
const fixedBurst = 1;
const burstSeconds = 0.25;
// With a high limit, one grant covers the requests of this time.
const grantSeconds = 0.05;
const grantLifetime: Milliseconds = 250;

/// The granting side.
export class RequestGranter {
  private readonly buckets = new Map<string, Bucket>();

  /// Grants up to `wanted` requests to the process of `target` that started at `born` and names
  /// `limit` requests per second. A bucket starts empty, because another entry VM may have
  /// granted requests until now.
  grant(target: string, born: number, limit: number, wanted: number, now: Milliseconds): Grant {
    const rate = getGrantRate(limit) / 1_000;
    const known = this.buckets.get(target);
    const bucket = known?.born === born ? known : { born, tokens: 0, at: now };
    const burst = fixedBurst + limit * burstSeconds;
    const tokens = Math.min(burst, bucket.tokens + (now - bucket.at) * rate);
    const granted = Math.max(0, Math.min(Math.floor(wanted), Math.floor(tokens)));
    this.buckets.set(target, { born, tokens: tokens - granted, at: now });
    return { granted, retryAfter: granted > 0 ? 0 : (1 - tokens) / rate };
  }

  /// Removes the buckets of targets for which `isListed` returns false.
  retain(isListed: (target: string) => boolean): void {
    for (const target of this.buckets.keys()) if (!isListed(target)) this.buckets.delete(target);
  }
}

/// The side of the entry VM that sends the requests.
export class HeldGrants {
  private readonly held = new Map<string, HeldGrant>();

  /// Takes a granted request, if one is held.
  take(target: string, born: number, now: Milliseconds): LocalGrant {
    const held = this.held.get(target);
    if (held?.born !== born) return { kind: "unknown" };
    if (held.remaining > 0 && held.expiresAt > now) {
      this.held.set(target, { ...held, remaining: held.remaining - 1 });
      return { kind: "granted" };
    }
    return held.deniedUntil > now
      ? { kind: "denied", retryAfter: held.deniedUntil - now }
      : { kind: "unknown" };
  }

  /// The time until a request may be granted again; `undefined` if one may be granted now.
  getRetryAfter(target: string, born: number, now: Milliseconds): Milliseconds | undefined {
    const held = this.held.get(target);
    return held?.born === born && held.deniedUntil > now ? held.deniedUntil - now : undefined;
  }

  /// Records the outcome of a request for a grant, of which one request is used at once.
  record(target: string, born: number, { granted, retryAfter }: Grant, now: Milliseconds): void {
    this.held.set(target, {
      born,
      remaining: Math.max(0, granted - 1),
      expiresAt: now + grantLifetime,
      deniedUntil: granted > 0 ? -Infinity : now + retryAfter,
    });
  }

  /// Removes the grants of targets for which `isListed` returns false.
  retain(isListed: (target: string) => boolean): void {
    for (const target of this.held.keys()) if (!isListed(target)) this.held.delete(target);
  }
}

/// The number of requests to ask for at once.
export function getGrantSize(limit: number): number {
  return Math.max(1, Math.floor(getGrantRate(limit) * grantSeconds));
}

function getGrantRate(limit: number): number {
  return Math.max(minimumRequestsPerSecond, limit * grantedShare);
}
