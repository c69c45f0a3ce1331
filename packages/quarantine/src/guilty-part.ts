//! Decides which part of the prompts explains the crashes of targets. Crashes of other causes
//! (a release, a lost machine) look the same, and popular parts are in the prompts of nearly
//! every crash, so that a part is found guilty only by contrast: no answer with it has lived.
import type { Milliseconds } from "@lovagebend/common";
import { PartStatus, type CrashRecord } from "./crash-records.js";

/// `crashes` counts crashes at different times.
export interface GuiltyPart {
  readonly part: string;
  readonly crashes: number;
}

interface Suspect {
  readonly part: string;
  readonly crashTimes: readonly Milliseconds[];
  readonly hasLivedBefore: boolean;
  readonly position: number;
}

const crashesToConvict = 3;
// For a part whose answers lived until recently, for example before a new version of the
// targets.
const crashesToConvictIfLivedBefore = 5;
// Other entry VMs report within this time that answers with the part have lived.
const contrastDelay: Milliseconds = 1_000;
const crashesToPause = 2;
// Targets that crash together, as in one data centre, have a common cause other than a prompt.
const simultaneity: Milliseconds = 100;

/// Returns the part that explains most of the crashes which none of `convicted` explains, or
/// `undefined` if the records do not suffice. Of parts that were in the same prompts, it is the
/// one that the fewest requests share.
export function findGuiltyPart(
  records: readonly CrashRecord[],
  convicted: ReadonlySet<string>,
  now: Milliseconds,
): GuiltyPart | undefined {
  const settled = records.filter(({ at }) => now - at >= contrastDelay);
  const guilty = listSuspects(settled, convicted).filter(
    ({ crashTimes, hasLivedBefore }) =>
      countSeparateTimes(crashTimes) >=
      (hasLivedBefore ? crashesToConvictIfLivedBefore : crashesToConvict),
  );
  const first = guilty.sort(compareSuspects)[0];
  return first === undefined
    ? undefined
    : { part: first.part, crashes: countSeparateTimes(first.crashTimes) };
}

/// Whether a conviction of `part` lacks support: an answer with it has lived, according to an
/// entry VM that the convicting one had not heard, and too few crashes remain.
export function isRefuted(records: readonly CrashRecord[], part: string): boolean {
  const concerned = records.filter(({ parts }) => parts.has(part));
  const open = concerned.filter(({ parts }) => parts.get(part)?.status !== PartStatus.LivedSince);
  return (
    concerned.some(({ parts }) => parts.get(part)?.status !== PartStatus.Suspected) &&
    countSeparateTimes(open.map(({ at }) => at)) < crashesToConvictIfLivedBefore
  );
}

/// Whether some crash is too recent to convict a part.
export function hasUnsettledCrash(records: readonly CrashRecord[], now: Milliseconds): boolean {
  return records.some(({ at }) => now - at < contrastDelay);
}

/// Returns until when requests with `part` are paused, because it may be guilty and the
/// contrast of its last crash is still outstanding; `undefined` if they are not.
export function findPauseEnd(
  records: readonly CrashRecord[],
  convicted: ReadonlySet<string>,
  part: string,
  now: Milliseconds,
): Milliseconds | undefined {
  const open = records.filter(
    (record) =>
      record.parts.get(part)?.status === PartStatus.Suspected && !isExplained(record, convicted),
  );
  if (open.length < crashesToPause) return undefined;
  const end = Math.max(...open.map(({ at }) => at)) + contrastDelay;
  return end > now ? end : undefined;
}

// The parts with enough crashes for a conviction, which few are.
function listSuspects(
  records: readonly CrashRecord[],
  convicted: ReadonlySet<string>,
): readonly Suspect[] {
  const crashTimes = new Map<string, Milliseconds[]>();
  for (const record of records) {
    if (isExplained(record, convicted)) continue;
    for (const [part, { status }] of record.parts) {
      if (status === PartStatus.LivedSince) continue;
      const times = crashTimes.get(part);
      if (times === undefined) crashTimes.set(part, [record.at]);
      else times.push(record.at);
    }
  }
  return [...crashTimes]
    .filter(([, times]) => times.length >= crashesToConvict)
    .map(([part, times]) => {
      const recorded = records.flatMap(({ parts }) => parts.get(part) ?? []);
      return {
        part,
        crashTimes: times,
        hasLivedBefore: recorded.some(({ status }) => status !== PartStatus.Suspected),
        position: Math.max(...recorded.map(({ position }) => position)),
      };
    });
}

function countSeparateTimes(times: readonly Milliseconds[]): number {
  let count = 0;
  let lastCounted = -Infinity;
  for (const time of [...times].sort((left, right) => left - right)) {
    if (time - lastCounted < simultaneity) continue;
    lastCounted = time;
    count += 1;
  }
  return count;
}

function isExplained({ parts }: CrashRecord, convicted: ReadonlySet<string>): boolean {
  for (const [part, { status }] of parts)
    if (convicted.has(part) && status !== PartStatus.LivedSince) return true;
  return false;
}

function compareSuspects(left: Suspect, right: Suspect): number {
  if (left.hasLivedBefore !== right.hasLivedBefore) return left.hasLivedBefore ? 1 : -1;
  if (left.crashTimes.length !== right.crashTimes.length)
    return right.crashTimes.length - left.crashTimes.length;
  if (left.position !== right.position) return right.position - left.position;
  return left.part < right.part ? -1 : 1;
}
