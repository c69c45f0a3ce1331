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
