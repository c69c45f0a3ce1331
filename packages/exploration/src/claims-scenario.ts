//! Scenario for at-most-once execution: bookings with shared idempotency keys arrive at
//! several entry VMs while processes freeze, the claim table is unavailable, and requests
//! and responses are lost.
import { ClaimStore, runAtMostOnce, type Verdict } from "@lovagebend/claims";
import type { Milliseconds } from "@lovagebend/common";
import { drawTableFault, FakeTable, type TableFault } from "./fake-table.js";
import type { BookingRun, BookingResponse } from "./checker.js";
import { FakeProcess, Simulation } from "./simulation.js";

/// The result of a run. The checker reads `runs` and `responses`.
export interface ClaimsHistory {
  readonly runs: readonly BookingRun[];
  readonly responses: readonly BookingResponse[];
  readonly transcript: readonly string[];
}

/// A booking that a caller sends `at` milliseconds after the preceding booking of its chain
/// ended. `isFirstAttempt` marks the request as the first attempt under its key.
export interface PlannedBooking {
  readonly key: string;
  readonly entryVm: number;
  readonly at: Milliseconds;
  readonly isFirstAttempt: boolean;
}

/// The faults of a run. `chooseFreezeDuration` is called when a request arrives and before
/// it is dispatched, `chooseServiceFault` once for each dispatched booking.
export interface ClaimsFaults {
  readonly chooseTableFault: () => TableFault;
  readonly isUnavailable: () => boolean;
  readonly chooseFreezeDuration: (moment: "arrival" | "dispatch", entryVm: string) => Milliseconds;
  readonly chooseServiceFault: () => "none" | "requestLost" | "responseLost";
}

/// Runs a booking at an entry VM. Tests replace the production implementation by unsafe
/// ones to show that the checker detects their violations.
export type BookingRunner = (
  claimStore: ClaimStore,
  request: { key: string; requestDigest: string; deadline: Milliseconds; isFirstAttempt: boolean },
  dispatch: () => Promise<Verdict>,
) => Promise<{ readonly run: BookingResponse["run"] }>;

const entryVmNames = ["entry-a", "entry-b", "entry-c"];
const claimTimeout: Milliseconds = 5_000;
const callTimeout: Milliseconds = 4_000;
const verdictRetryRounds = 40;
const verdictRetryInterval: Milliseconds = 1_000;
const maximumFreeze: Milliseconds = 20_000;
const maximumOutage: Milliseconds = 10_000;

/// Runs a booking with the production implementation.
export const productionRunner: BookingRunner = async (claimStore, request, dispatch) => {
  const outcome = await runAtMostOnce(claimStore, request, dispatch);
  if (outcome.isOk) return { run: "ran" };
  return { run: outcome.error.run };
};

/// Draws chains of bookings. Each booking of a chain is sent after the response to the one
/// before it. Either there is one chain, whose first booking is marked as the first
/// attempt, or several callers send unmarked bookings concurrently, mostly with the same
/// key.
export function drawBookings(simulation: Simulation): PlannedBooking[][] {
  const hasFirstAttemptMark = simulation.drawOneIn(2);
  const count = 1 + simulation.draw(4);
  const bookings = Array.from({ length: count }, (_, index) => ({
    key: !hasFirstAttemptMark && simulation.drawOneIn(3) ? "key-2" : "key-1",
    entryVm: simulation.draw(entryVmNames.length),
    at: index * simulation.draw(3_000),
    isFirstAttempt: hasFirstAttemptMark && index === 0,
  }));
  return hasFirstAttemptMark ? [bookings] : bookings.map((booking) => [booking]);
}

/// Draws faults, each with a probability of 1 in `drawsPerFault`.
export function drawClaimsFaults(simulation: Simulation, drawsPerFault: number): ClaimsFaults {
  const outageStart = simulation.drawOneIn(drawsPerFault) ? simulation.draw(3_000) : 0;
  const outageEnd = outageStart === 0 ? 0 : outageStart + simulation.draw(maximumOutage);
  return {
    chooseTableFault: () => drawTableFault(simulation, drawsPerFault),
    isUnavailable: () => simulation.now >= outageStart && simulation.now < outageEnd,
    chooseFreezeDuration: () =>
      simulation.drawOneIn(drawsPerFault) ? simulation.draw(maximumFreeze) : 0,
    chooseServiceFault: () => {
      if (!simulation.drawOneIn(drawsPerFault)) return "none";
      return simulation.drawOneIn(2) ? "responseLost" : "requestLost";
    },
  };
}

/// Runs the bookings, then retries the unrecorded verdicts of every claim store for 40
/// rounds.
export async function runClaims(
  simulation: Simulation,
  chains: readonly (readonly PlannedBooking[])[],
  faults: ClaimsFaults,
  runner: BookingRunner = productionRunner,
): Promise<ClaimsHistory> {
  const runs: BookingRun[] = [];
  const responses: BookingResponse[] = [];
  const tableProcess = new FakeProcess("table");
  const serviceProcess = new FakeProcess("service");
  const table = new FakeTable(simulation, tableProcess, {
    chooseFault: faults.chooseTableFault,
    isUnavailable: faults.isUnavailable,
  });
  const entryVms = createEntryVms(simulation, table);
  let lastSubmission = 0;

  const freeze = (process: FakeProcess, moment: "arrival" | "dispatch"): void => {
    const duration = faults.chooseFreezeDuration(moment, process.name);
    if (duration === 0) return;
    simulation.record(`${process.name} frozen for ${duration} ms`);
    simulation.freeze(process, duration);
  };
  const dispatchBooking = async (
    process: FakeProcess,
    key: string,
    submission: number,
  ): Promise<Verdict> => {
    freeze(process, "dispatch");
    simulation.record(`${process.name} -> service: ${key}`);
    const fault = faults.chooseServiceFault();
    await simulation.delay(serviceProcess, 1 + simulation.draw(20));
    if (fault !== "requestLost") {
      runs.push({ key, submission, at: simulation.now });
      simulation.record(`service: ran ${key}`);
    }
    if (fault !== "none") {
      simulation.record(`service -> ${process.name}: no response`);
      await simulation.delay(process, callTimeout);
      return { kind: "unknown" };
    }
    await simulation.delay(process, 1 + simulation.draw(20));
    return { kind: "ran", answer: `booked ${key}` };
  };
  const sendBooking = async (booking: PlannedBooking): Promise<void> => {
    const { process, claimStore } = entryVms[booking.entryVm] ?? throwMissingEntryVm();
    lastSubmission += 1;
    const submission = lastSubmission;
    await simulation.delay(process, booking.at);
    const sentAt = simulation.now;
    const firstAttemptSuffix = booking.isFirstAttempt ? " (first)" : "";
    simulation.record(`caller -> ${process.name}: book ${booking.key}${firstAttemptSuffix}`);
    freeze(process, "arrival");
    const request = {
      key: `claims/${booking.key}`,
      requestDigest: booking.key,
      deadline: simulation.now + claimTimeout,
      isFirstAttempt: booking.isFirstAttempt,
    };
    const { run } = await runner(claimStore, request, () =>
      dispatchBooking(process, booking.key, submission),
    );
    await simulation.delay(process, 0);
    responses.push({ key: booking.key, submission, sentAt, respondedAt: simulation.now, run });
    simulation.record(`${process.name} -> caller: ${booking.key} ${run}`);
  };
  const sendChain = async (chain: readonly PlannedBooking[]): Promise<void> => {
    for (const booking of chain) await sendBooking(booking);
  };
  const runAll = async (): Promise<void> => {
    await Promise.all(chains.map(sendChain));
    for (let round = 0; round < verdictRetryRounds; round += 1) {
      await Promise.all(entryVms.map(({ claimStore }) => claimStore.retryUnrecordedVerdicts()));
      await simulation.delay(tableProcess, verdictRetryInterval);
    }
  };
  await simulation.run(runAll());
  return { runs, responses, transcript: simulation.transcript };
}

function createEntryVms(simulation: Simulation, table: FakeTable) {
  let nonceCount = 0;
  const createNonce = (): string => {
    nonceCount += 1;
    return `nonce-${nonceCount}`;
  };
  return entryVmNames.map((name) => {
    const process = new FakeProcess(name);
    const clock = simulation.createClock(process);
    const tableConnection = table.connect(process);
    return {
      process,
      claimStore: new ClaimStore({ table: tableConnection, clock, holder: name, createNonce }),
    };
  });
}

function throwMissingEntryVm(): never {
  throw new Error("the booking names an unknown entry VM");
}
