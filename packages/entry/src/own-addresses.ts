//! Refuses target entries with an address of this entry VM itself, to which it would send its
//! own requests again.
import type { ListedTarget } from "@lovagebend/catalog";
import { Result } from "true-myth";
import type { EntryDependencies, EntryIdentity } from "./entry-dependencies.js";

/// Like `readTarget`, and returns an error for an address on which this entry VM listens.
export function refuseOwnAddresses(
  readTarget: EntryDependencies["readTarget"],
  { callers, readiness, peers, metrics }: EntryIdentity,
): EntryDependencies["readTarget"] {
  const ownAddresses = [callers, readiness, peers, ...(metrics === undefined ? [] : [metrics])];
  return (name, value) =>
    readTarget(name, value).andThen((target): Result<ListedTarget, string> =>
      ownAddresses.some(({ host, port }) => host === target.host && port === target.port)
        ? Result.err(`the address ${target.host}:${target.port} is one of this entry VM`)
        : Result.ok(target),
    );
}
