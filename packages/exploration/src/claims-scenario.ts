//! Bookings under shared keys at several entry VMs, with freezes, outages, lost
//! answers and silent targets.
import { ClaimLedger, runAtMostOnce, type Verdict } from "@lovagebend/claims";
import type { Milliseconds } from "@lovagebend/common";
import { drawTableFault, FakeTable, type TableFault } from "./fake-table.js";
import type { BookingRun, BookingTold } from "./judge.js";
import { FakeProcess, Simulation } from "./world.js";

/// What happened: the judge reads `runs` and `told`.
export interface ClaimsHistory {
  readonly runs: readonly BookingRun[];
  readonly told: readonly BookingTold[];
  readonly transcript: readonly string[];
}

/// A booking that a caller sends.
export interface PlannedBooking {
  readonly key: string;
  readonly entryVm: number;
  readonly at: Milliseconds;
  readonly isFirst: boolean;
}

/// What goes wrong in a run. `freeze` is asked when a request arrives and before it is
/// sent on, and answers with milliseconds; `serviceFault` once for each booking sent.
export interface ClaimsFaults {
  readonly tableFault: () => TableFault;
  readonly isOut: () => boolean;
  readonly freeze: (moment: "arrival" | "dispatch", entryVm: string) => Milliseconds;
  readonly serviceFault: () => "none" | "requestLost" | "answerLost";
}

/// The way in which an entry VM runs a booking; the plain ways of the tests take the
/// place of the product's.
export type BookingRunner = (
  ledger: ClaimLedger,
  request: { key: string; requestDigest: string; deadline: Milliseconds; isFirst: boolean },
  dispatch: () => Promise<Verdict>,
) => Promise<{ readonly run: BookingTold["run"] }>;

const entryVmNames = ["entry-a", "entry-b", "entry-c"];
const claimPatience: Milliseconds = 5_000;
const callPatience: Milliseconds = 4_000;
const settleRounds = 40;
const settlePause: Milliseconds = 1_000;
const longestFreeze: Milliseconds = 20_000;
const longestOutage: Milliseconds = 10_000;

/// The product's way.
export const productRunner: BookingRunner = async (ledger, request, dispatch) => {
  const outcome = await runAtMostOnce(ledger, request, dispatch);
  if (outcome.isOk) return { run: "ran" };
  return { run: outcome.error.run };
};

/// Draws chains of bookings. In a chain each booking is sent when the one before it has
/// been answered. Either one caller marks the first of its chain, or several send the
/// same key at once without the mark.
export function drawBookings(simulation: Simulation): PlannedBooking[][] {
  const marked = simulation.drawOneIn(2);
  const count = 1 + simulation.draw(4);
  const bookings = Array.from({ length: count }, (_, index) => ({
    key: !marked && simulation.drawOneIn(3) ? "key-2" : "key-1",
    entryVm: simulation.draw(entryVmNames.length),
    at: index * simulation.draw(3_000),
    isFirst: marked && index === 0,
  }));
  return marked ? [bookings] : bookings.map((booking) => [booking]);
}

/// Draws faults that strike once in `oneIn`.
export function drawFaults(simulation: Simulation, oneIn: number): ClaimsFaults {
  const from = simulation.drawOneIn(oneIn) ? simulation.draw(3_000) : 0;
  const until = from === 0 ? 0 : from + simulation.draw(longestOutage);
  return {
    tableFault: () => drawTableFault(simulation, oneIn),
    isOut: () => simulation.now >= from && simulation.now < until,
    freeze: () => (simulation.drawOneIn(oneIn) ? simulation.draw(longestFreeze) : 0),
    serviceFault: () => {
      if (!simulation.drawOneIn(oneIn)) return "none";
      return simulation.drawOneIn(2) ? "answerLost" : "requestLost";
    },
  };
}

/// Runs the bookings and lets every backlog settle.
export async function runClaims(
  simulation: Simulation,
  chains: readonly (readonly PlannedBooking[])[],
  faults: ClaimsFaults,
  runner: BookingRunner = productRunner,
): Promise<ClaimsHistory> {
  const runs: BookingRun[] = [];
  const told: BookingTold[] = [];
  const store = new FakeProcess("table");
  const target = new FakeProcess("service");
  const table = new FakeTable(simulation, store, {
    nextFault: faults.tableFault,
    isOut: faults.isOut,
  });
  const entryVms = startEntryVms(simulation, table);
  let submissions = 0;

  const freeze = (process: FakeProcess, moment: "arrival" | "dispatch"): void => {
    const duration = faults.freeze(moment, process.name);
    if (duration === 0) return;
    simulation.record(`${process.name} frozen for ${duration} ms`);
    simulation.freeze(process, duration);
  };
  const serve = async (process: FakeProcess, key: string, submission: number): Promise<Verdict> => {
    freeze(process, "dispatch");
    simulation.record(`${process.name} -> service: ${key}`);
    const fault = faults.serviceFault();
    await simulation.delay(target, 1 + simulation.draw(20));
    if (fault !== "requestLost") {
      runs.push({ key, submission, at: simulation.now });
      simulation.record(`service: ran ${key}`);
    }
    if (fault !== "none") {
      simulation.record(`service -> ${process.name}: silence`);
      await simulation.delay(process, callPatience);
      return { kind: "unknown" };
    }
    await simulation.delay(process, 1 + simulation.draw(20));
    return { kind: "ran", answer: `booked ${key}` };
  };
  const book = async (booking: PlannedBooking): Promise<void> => {
    const { process, ledger } = entryVms[booking.entryVm] ?? noEntryVm();
    submissions += 1;
    const submission = submissions;
    await simulation.delay(process, booking.at);
    const sentAt = simulation.now;
    const mark = booking.isFirst ? " (first)" : "";
    simulation.record(`caller -> ${process.name}: book ${booking.key}${mark}`);
    freeze(process, "arrival");
    const request = {
      key: `claims/${booking.key}`,
      requestDigest: booking.key,
      deadline: simulation.now + claimPatience,
      isFirst: booking.isFirst,
    };
    const { run } = await runner(ledger, request, () => serve(process, booking.key, submission));
    await simulation.delay(process, 0);
    told.push({ key: booking.key, submission, sentAt, at: simulation.now, run });
    simulation.record(`${process.name} -> caller: ${booking.key} ${run}`);
  };
  const follow = async (chain: readonly PlannedBooking[]): Promise<void> => {
    for (const booking of chain) await book(booking);
  };
  const all = async (): Promise<void> => {
    await Promise.all(chains.map(follow));
    for (let round = 0; round < settleRounds; round += 1) {
      await Promise.all(entryVms.map(({ ledger }) => ledger.settleBacklog()));
      await simulation.delay(store, settlePause);
    }
  };
  await simulation.run(all());
  return { runs, told, transcript: simulation.transcript };
}

function startEntryVms(simulation: Simulation, table: FakeTable) {
  let nonces = 0;
  const createNonce = (): string => {
    nonces += 1;
    return `nonce-${nonces}`;
  };
  return entryVmNames.map((name) => {
    const process = new FakeProcess(name);
    const clock = simulation.createClock(process);
    const connection = table.connect(process);
    return {
      process,
      ledger: new ClaimLedger({ table: connection, clock, holder: name, createNonce }),
    };
  });
}

function noEntryVm(): never {
  throw new Error("a booking names an entry VM that is not there");
}
