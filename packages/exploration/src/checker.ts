//! Checkers of the router's invariants. They compare the responses that callers received
//! with what the targets ran, and share no code with the router. Times are in milliseconds
//! of simulated time.

/// One execution of a booking at a service. `submission` numbers the request that caused it.
export interface BookingRun {
  readonly key: string;
  readonly submission: number;
  readonly at: number;
}

/// The response to a submission; `run` states whether the booking ran.
export interface BookingResponse {
  readonly key: string;
  readonly submission: number;
  readonly sentAt: number;
  readonly respondedAt: number;
  readonly run: "not_run" | "ran" | "unknown";
}

/// Returns the violations in a history of bookings, none when every key ran at most once
/// and every response was true.
export function checkBookings(
  runs: readonly BookingRun[],
  responses: readonly BookingResponse[],
): string[] {
  const violations: string[] = [];
  for (const key of new Set(runs.map((run) => run.key))) {
    const count = runs.filter((run) => run.key === key).length;
    if (count > 1) violations.push(`${key} ran ${count} times`);
  }
  for (const { key, submission, respondedAt, run } of responses) {
    const submissionsSentBefore = new Set(
      responses
        .filter((other) => other.key === key && other.sentAt <= respondedAt)
        .map((other) => other.submission),
    );
    const hasRun = runs.some(
      (bookingRun) => bookingRun.key === key && submissionsSentBefore.has(bookingRun.submission),
    );
    if (run === "not_run" && hasRun)
      violations.push(`submission ${submission} of ${key} was reported as not run, but it ran`);
    if (
      run === "ran" &&
      !runs.some((bookingRun) => bookingRun.key === key && bookingRun.at <= respondedAt)
    ) {
      violations.push(`submission ${submission} of ${key} was reported as run, but it had not run`);
    }
  }
  return violations;
}

/// A run of the layers from `firstLayer` up to, not including, `endLayer` for the positions
/// of a sequence from `from` up to, not including, `end`.
export interface LayerRun {
  readonly sequence: string;
  readonly purpose: string;
  readonly from: number;
  readonly end: number;
  readonly firstLayer: number;
  readonly endLayer: number;
}

/// Returns the violations in one answer. `tokens` are the tokens that the caller received,
/// `expected` is the reference answer, and `positions` is the number of positions that the
/// received tokens required.
export function checkAnswer(
  tokens: readonly number[],
  expected: readonly number[],
  isComplete: boolean,
  runs: readonly LayerRun[],
  positions: number,
  layers: number,
): string[] {
  const violations: string[] = [];
  const expectedPrefix = expected.slice(0, tokens.length);
  if (tokens.some((token, index) => token !== expectedPrefix[index]))
    violations.push("a token is wrong");
  if (isComplete && tokens.length !== expected.length) violations.push("the answer is incomplete");
  const lastRuns = new Map<string, LayerRun>();
  for (const run of runs) lastRuns.set(run.sequence, run);
  for (let layer = 0; layer < layers; layer += 1) {
    for (let position = 0; position < positions; position += 1) {
      const coveringRuns = runs.filter(
        (run) => run.purpose === "answer" && includesPosition(run, layer, position),
      );
      const layerPosition = `layer ${layer} of position ${position}`;
      if (coveringRuns.length === 0) violations.push(`${layerPosition} never ran`);
      // A run whose output was lost is the last of its sequence: no later run used its output.
      const usedRuns = coveringRuns.filter((run) => lastRuns.get(run.sequence) !== run);
      if (usedRuns.length > 1) violations.push(`${layerPosition} ran ${usedRuns.length} times`);
    }
  }
  return violations;
}

function includesPosition(run: LayerRun, layer: number, position: number): boolean {
  const includesLayer = run.firstLayer <= layer && layer < run.endLayer;
  return includesLayer && run.from <= position && position < run.end;
}

/// The activation of a settings revision at an entry VM. `incarnation` changes when the
/// entry VM is replaced.
export interface RevisionActivation {
  readonly entryVm: string;
  readonly incarnation: number;
  readonly at: number;
  readonly revision: number;
}

/// The response to a settings change. `revision` is defined if it was reported as committed.
export interface ChangeResponse {
  readonly changeId: string;
  readonly kind: "committed" | "conflict" | "invalid" | "unknown" | "unavailable";
  readonly revision: number | undefined;
}

/// Returns the violations in a history of settings. `acceptedRevisions` were in force at
/// every entry VM at once, `storedChanges` are the changes in the store by revision, and
/// `finalRevisions` are the revisions in force at each entry VM at the end.
export function checkSettings(
  activations: readonly RevisionActivation[],
  acceptedRevisions: readonly { readonly revision: number; readonly at: number }[],
  responses: readonly ChangeResponse[],
  storedChanges: ReadonlyMap<number, { readonly changeId: string }>,
  finalRevisions: ReadonlyMap<string, number>,
): string[] {
  const violations: string[] = [];
  const lastActivations = new Map<string, RevisionActivation>();
  for (const activation of activations) {
    const previous = lastActivations.get(activation.entryVm);
    if (
      previous?.incarnation === activation.incarnation &&
      activation.revision < previous.revision
    ) {
      violations.push(
        `${activation.entryVm} went from ${previous.revision} back to ${activation.revision}`,
      );
    }
    lastActivations.set(activation.entryVm, activation);
    const minimumRevision = Math.max(
      0,
      ...acceptedRevisions.filter(({ at }) => at < activation.at).map(({ revision }) => revision),
    );
    // Revision 0 belongs to a new entry VM that is not ready yet.
    if (activation.revision > 0 && activation.revision < minimumRevision) {
      violations.push(
        `${activation.entryVm} put ${activation.revision} in force after ${minimumRevision} was accepted`,
      );
    }
  }
  const storedChangeIds = [...storedChanges.values()].map(({ changeId }) => changeId);
  for (const { changeId, kind, revision } of responses) {
    const isStored = storedChangeIds.includes(changeId);
    if (kind === "committed" && storedChanges.get(revision ?? 0)?.changeId !== changeId) {
      violations.push(`a change reported as committed under ${revision ?? 0} is not stored`);
    }
    if (kind !== "committed" && kind !== "unknown" && isStored) {
      violations.push(`a change reported as ${kind} is stored`);
    }
  }
  const latestRevision = Math.max(0, ...storedChanges.keys());
  for (const [entryVm, revision] of finalRevisions) {
    if (revision !== latestRevision)
      violations.push(`${entryVm} has ${revision} in force, not ${latestRevision}`);
  }
  return violations;
}

/// An order that a lease holder sent with a fencing number.
export interface SentOrder {
  readonly holder: string;
  readonly fencingNumber: number;
  readonly at: number;
}

/// Returns the violations in a history of orders. `acceptedOrders` are the orders that each
/// engine accepted, in sequence; `checksFencing` is true for an engine that must refuse
/// stale fencing numbers.
export function checkOrders(
  sentOrders: readonly SentOrder[],
  acceptedOrders: ReadonlyMap<
    string,
    readonly { readonly fencingNumber: number; readonly checksFencing: boolean }[]
  >,
): string[] {
  const violations: string[] = [];
  const holders = new Map<number, string>();
  let maximumFencingNumber = 0;
  for (const { holder, fencingNumber, at } of sentOrders) {
    const knownHolder = holders.get(fencingNumber);
    if (knownHolder !== undefined && knownHolder !== holder) {
      violations.push(`fencing number ${fencingNumber} was used by ${knownHolder} and ${holder}`);
    }
    holders.set(fencingNumber, holder);
    if (fencingNumber < maximumFencingNumber)
      violations.push(`${holder} sent ${fencingNumber} at ${at} after ${maximumFencingNumber}`);
    maximumFencingNumber = Math.max(maximumFencingNumber, fencingNumber);
  }
  for (const [engine, orders] of acceptedOrders) {
    orders.forEach(({ fencingNumber, checksFencing }, index) => {
      const previousMaximum = Math.max(
        0,
        ...orders.slice(0, index).map((previous) => previous.fencingNumber),
      );
      if (checksFencing && fencingNumber < previousMaximum)
        violations.push(`${engine} accepted ${fencingNumber} after ${previousMaximum}`);
    });
  }
  return violations;
}

/// The state of a target as an entry VM sees it at a time. `isNoticeReachable` is true if
/// the entry VM could receive a leaving notice from any source at that time.
export interface TargetObservation {
  readonly entryVm: string;
  readonly target: string;
  readonly at: number;
  readonly state: string;
  readonly isNoticeReachable: boolean;
}

const maximumNoticeDelayMilliseconds = 5_000;
const startupMilliseconds = 3_000;

/// Returns the violations in a history of targets that all respond to probes.
/// `noticeReadableAt` is the time from which the leaving notice of `leavingTarget` can be
/// read.
export function checkMembership(
  observations: readonly TargetObservation[],
  leavingTarget: string,
  noticeReadableAt: number,
): string[] {
  const violations: string[] = [];
  const reachableSince = new Map<string, number>();
  for (const { entryVm, target, at, state, isNoticeReachable } of observations) {
    if (target !== leavingTarget) {
      if (at > startupMilliseconds && state !== "serving") {
        violations.push(`${entryVm} excluded ${target} at ${at}, although it was serving`);
      }
      continue;
    }
    if (!isNoticeReachable || at < noticeReadableAt) reachableSince.delete(entryVm);
    else if (!reachableSince.has(entryVm)) reachableSince.set(entryVm, at);
    const since = reachableSince.get(entryVm);
    if (since !== undefined && at - since > maximumNoticeDelayMilliseconds && state === "serving") {
      violations.push(`${entryVm} still routed to ${target} at ${at}`);
    }
  }
  return violations;
}
