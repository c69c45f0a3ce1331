//! Decides from what callers were told and what targets ran whether the promises held.
//! It shares no code with the router.

/// A run of a booking at a service, caused by a submission.
export interface BookingRun {
  readonly key: string;
  readonly submission: number;
  readonly at: number;
}

/// What the caller of a submission was told, and when.
export interface BookingTold {
  readonly key: string;
  readonly submission: number;
  readonly sentAt: number;
  readonly at: number;
  readonly run: "not_run" | "ran" | "unknown";
}

/// The broken promises of a history of bookings; none when all held.
export function judgeBookings(runs: readonly BookingRun[], told: readonly BookingTold[]): string[] {
  const violations: string[] = [];
  for (const key of new Set(runs.map((run) => run.key))) {
    const count = runs.filter((run) => run.key === key).length;
    if (count > 1) violations.push(`${key} ran ${count} times`);
  }
  for (const { key, submission, at, run } of told) {
    const sentBefore = new Set(
      told
        .filter((other) => other.key === key && other.sentAt <= at)
        .map((other) => other.submission),
    );
    const ran = runs.some((item) => item.key === key && sentBefore.has(item.submission));
    if (run === "not_run" && ran)
      violations.push(`submission ${submission} of ${key} heard not run, but it ran`);
    if (run === "ran" && !runs.some((item) => item.key === key && item.at <= at)) {
      violations.push(`submission ${submission} of ${key} heard ran, but it had not`);
    }
  }
  return violations;
}

/// Layers that ran for positions of a sequence, from `from` up to, not including, `end`.
export interface LayerRun {
  readonly sequence: string;
  readonly purpose: string;
  readonly from: number;
  readonly end: number;
  readonly firstLayer: number;
  readonly endLayer: number;
}

/// The broken promises of one answer. `tokens` are what the caller got, `wanted` the
/// right answer, `positions` how many positions the answer's tokens needed.
export function judgeAnswer(
  tokens: readonly number[],
  wanted: readonly number[],
  isWhole: boolean,
  runs: readonly LayerRun[],
  positions: number,
  layers: number,
): string[] {
  const violations: string[] = [];
  const right = wanted.slice(0, tokens.length);
  if (tokens.some((token, index) => token !== right[index])) violations.push("a token is wrong");
  if (isWhole && tokens.length !== wanted.length) violations.push("the answer is not whole");
  const last = new Map<string, LayerRun>();
  for (const run of runs) last.set(run.sequence, run);
  for (let layer = 0; layer < layers; layer += 1) {
    for (let position = 0; position < positions; position += 1) {
      const covering = runs.filter(
        (run) => run.purpose === "answer" && covers(run, layer, position),
      );
      const where = `layer ${layer} of position ${position}`;
      if (covering.length === 0) violations.push(`${where} never ran`);
      // A run whose output was lost is the last of its sequence: nothing built on it.
      const builtOn = covering.filter((run) => last.get(run.sequence) !== run);
      if (builtOn.length > 1) violations.push(`${where} ran ${builtOn.length} times`);
    }
  }
  return violations;
}

function covers(run: LayerRun, layer: number, position: number): boolean {
  const holdsLayer = run.firstLayer <= layer && layer < run.endLayer;
  return holdsLayer && run.from <= position && position < run.end;
}

/// A revision that an entry VM put in force.
export interface RevisionInForce {
  readonly entryVm: string;
  readonly life: number;
  readonly at: number;
  readonly revision: number;
}

/// A change and what its operator was told; `revision` where it was told as committed.
export interface ChangeTold {
  readonly mark: string;
  readonly kind: "committed" | "conflict" | "invalid" | "unknown" | "unavailable";
  readonly revision: number | undefined;
}

/// The broken promises of a history of settings. `latest` is the last revision of the
/// store, `last` what each entry VM has in force at the end.
export function judgeSettings(
  inForce: readonly RevisionInForce[],
  accepted: readonly { readonly revision: number; readonly at: number }[],
  told: readonly ChangeTold[],
  stored: ReadonlyMap<number, { readonly mark: string }>,
  last: ReadonlyMap<string, number>,
): string[] {
  const violations: string[] = [];
  const current = new Map<string, RevisionInForce>();
  for (const item of inForce) {
    const before = current.get(item.entryVm);
    if (before?.life === item.life && item.revision < before.revision) {
      violations.push(`${item.entryVm} went from ${before.revision} back to ${item.revision}`);
    }
    current.set(item.entryVm, item);
    const floor = Math.max(
      0,
      ...accepted.filter(({ at }) => at < item.at).map(({ revision }) => revision),
    );
    // Revision 0 is a new entry VM that is not ready yet.
    if (item.revision > 0 && item.revision < floor) {
      violations.push(`${item.entryVm} put ${item.revision} in force after ${floor} was accepted`);
    }
  }
  const marks = [...stored.values()].map(({ mark }) => mark);
  for (const { mark, kind, revision } of told) {
    const isStored = marks.includes(mark);
    if (kind === "committed" && stored.get(revision ?? 0)?.mark !== mark) {
      violations.push(`a change told as committed under ${revision ?? 0} is not there`);
    }
    if (kind !== "committed" && kind !== "unknown" && isStored) {
      violations.push(`a change told as ${kind} is in force`);
    }
  }
  const latest = Math.max(0, ...stored.keys());
  for (const [entryVm, revision] of last) {
    if (revision !== latest) violations.push(`${entryVm} has ${revision} in force, not ${latest}`);
  }
  return violations;
}

/// An order as its sender sent it, under a fencing number.
export interface OrderSent {
  readonly holder: string;
  readonly number: number;
  readonly at: number;
}

/// The broken promises of a history of orders. `taken` are the numbers that engines took
/// in order, `checks` telling whether the engine refuses stale ones.
export function judgeOrders(
  sent: readonly OrderSent[],
  taken: ReadonlyMap<string, readonly { readonly number: number; readonly checks: boolean }[]>,
): string[] {
  const violations: string[] = [];
  const holders = new Map<number, string>();
  let highest = 0;
  for (const { holder, number, at } of sent) {
    const known = holders.get(number);
    if (known !== undefined && known !== holder) {
      violations.push(`number ${number} was used by ${known} and ${holder}`);
    }
    holders.set(number, holder);
    if (number < highest) violations.push(`${holder} sent ${number} at ${at} after ${highest}`);
    highest = Math.max(highest, number);
  }
  for (const [engine, numbers] of taken) {
    numbers.forEach(({ number, checks }, index) => {
      const before = Math.max(0, ...numbers.slice(0, index).map((item) => item.number));
      if (checks && number < before) violations.push(`${engine} took ${number} after ${before}`);
    });
  }
  return violations;
}

/// How an entry VM saw a target at a moment. `told` says whether anything that knows of
/// a leaving notice could reach the entry VM then.
export interface TargetSeen {
  readonly entryVm: string;
  readonly target: string;
  readonly at: number;
  readonly state: string;
  readonly told: boolean;
}

const fewSeconds = 5_000;
const startTime = 3_000;

/// The broken promises of a history of targets that all answer. `noticeAt` is when the
/// leaving notice of `leaving` could first be read.
export function judgeMembership(
  seen: readonly TargetSeen[],
  leaving: string,
  noticeAt: number,
): string[] {
  const violations: string[] = [];
  const toldSince = new Map<string, number>();
  for (const { entryVm, target, at, state, told } of seen) {
    if (target !== leaving) {
      if (at > startTime && state !== "serving") {
        violations.push(`${entryVm} gave ${target} no work at ${at}, though it serves`);
      }
      continue;
    }
    if (!told || at < noticeAt) toldSince.delete(entryVm);
    else if (!toldSince.has(entryVm)) toldSince.set(entryVm, at);
    const since = toldSince.get(entryVm);
    if (since !== undefined && at - since > fewSeconds && state === "serving") {
      violations.push(`${entryVm} still gave ${target} work at ${at}`);
    }
  }
  return violations;
}
