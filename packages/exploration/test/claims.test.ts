//! Explores requirements 3 and 4: a booking runs at most once, and a response that reports
//! it as not run is true.
import { ErrorKind, RouterError, RunState } from "@lovagebend/common";
import t from "tap";
import {
  drawBookings,
  drawClaimsFaults,
  runClaims,
  type BookingRunner,
  type ClaimsFaults,
  type PlannedBooking,
} from "../src/claims-scenario.js";
import { explore } from "../src/explore.js";
import { TableFault } from "../src/fake-table.js";
import { checkBookings } from "../src/checker.js";
import { Simulation } from "../src/simulation.js";

const scheduleCount = 400;
const seeds = [11, 12, 13];
const drawsPerFault = 5;
const noFaults: ClaimsFaults = {
  chooseTableFault: () => TableFault.None,
  isUnavailable: () => false,
  chooseFreezeDuration: () => 0,
  chooseServiceFault: () => "none",
};

function createBookingChain(entryVm: number, at: number, isFirstAttempt = false): PlannedBooking[] {
  return [{ key: "key-1", entryVm, at, isFirstAttempt }];
}

/// Returns a function that returns the given values in sequence, then the last one.
function createSequence<T>(first: T, ...rest: T[]): () => T {
  let lastValue = first;
  const remaining = [first, ...rest];
  return () => {
    lastValue = remaining.shift() ?? lastValue;
    return lastValue;
  };
}

async function runScenario(
  chains: readonly PlannedBooking[][],
  faults: Partial<ClaimsFaults>,
  runner?: BookingRunner,
): Promise<{ violations: string[]; transcript: string }> {
  const simulation = new Simulation();
  const history = await runClaims(simulation, chains, { ...noFaults, ...faults }, runner);
  const violations = checkBookings(history.runs, history.responses);
  return { violations, transcript: `${history.transcript.join("\n")}\n` };
}

function exploreWithRunner(runner: BookingRunner) {
  return explore(
    async (simulation) => {
      const chains = drawBookings(simulation);
      const { runs, responses } = await runClaims(
        simulation,
        chains,
        drawClaimsFaults(simulation, drawsPerFault),
        runner,
      );
      return checkBookings(runs, responses);
    },
    11,
    2_000,
    false,
  );
}

/// Dispatches without a claim and retries after a timeout.
const dispatchWithoutClaim: BookingRunner = async (_claimStore, _request, dispatch) => {
  const firstVerdict = await dispatch();
  const lastVerdict = firstVerdict.kind === "unknown" ? await dispatch() : firstVerdict;
  return { run: lastVerdict.kind === "ran" ? "ran" : "not_run" };
};

/// Treats a claim as granted when the store is unavailable.
const treatUnavailableAsGranted: BookingRunner = async (claimStore, request, dispatch) => {
  const outcome = await claimStore.claim(request);
  if (outcome.kind !== "granted" && outcome.kind !== "unavailable") return { run: "unknown" };
  return { run: (await dispatch()).kind === "ran" ? "ran" : "unknown" };
};

/// Reports a booking as not run when another entry VM holds its claim.
const reportHeldAsNotRun: BookingRunner = async (claimStore, request, dispatch) => {
  const outcome = await claimStore.claim(request);
  if (outcome.kind !== "granted") return { run: "not_run" };
  const verdict = await dispatch();
  await claimStore.recordVerdict(request.key, outcome.claim, verdict);
  return { run: verdict.kind === "ran" ? "ran" : "unknown" };
};

/// Reports a booking as not run when the store is unavailable, although an earlier attempt
/// of the caller may have run.
const reportUnavailableAsNotRun: BookingRunner = async (claimStore, request, dispatch) => {
  const outcome = await claimStore.claim(request);
  if (outcome.kind === "unavailable") return { run: "not_run" };
  if (outcome.kind !== "granted") return { run: "unknown" };
  const verdict = await dispatch();
  await claimStore.recordVerdict(request.key, outcome.claim, verdict);
  return { run: verdict.kind === "ran" ? "ran" : "unknown" };
};

t.test("bookings run at most once and are never falsely reported as not run", async (t) => {
  for (const seed of seeds) {
    const result = await explore(
      async (simulation) => {
        const chains = drawBookings(simulation);
        const { runs, responses } = await runClaims(
          simulation,
          chains,
          drawClaimsFaults(simulation, drawsPerFault),
        );
        return checkBookings(runs, responses);
      },
      seed,
      scheduleCount,
      false,
    );
    t.equal(result.violation, undefined, `seed ${seed}`);
  }
});

for (const [name, runner] of Object.entries({
  dispatchWithoutClaim,
  treatUnavailableAsGranted,
  reportHeldAsNotRun,
  reportUnavailableAsNotRun,
})) {
  t.test(`the checker detects the violation of ${name}`, async (t) => {
    const result = await exploreWithRunner(runner);
    t.not(result.violation, undefined);
    t.matchSnapshot(result.violation?.description ?? "", "violation");
  });
}

t.test("a booking runs once when its key reaches two entry VMs at once", async (t) => {
  const { violations, transcript } = await runScenario(
    [createBookingChain(0, 0), createBookingChain(1, 1)],
    {},
  );
  t.same(violations, []);
  t.matchSnapshot(transcript, "transcript");
});

t.test("a booking runs once when the response to its claim is lost", async (t) => {
  const faults = { chooseTableFault: createSequence(TableFault.ResponseLost, TableFault.None) };
  const { violations, transcript } = await runScenario([createBookingChain(0, 0)], faults);
  t.same(violations, []);
  t.matchSnapshot(transcript, "transcript");
});

t.test(
  "a booking runs at most once when its claim takes effect after the holder timed out",
  async (t) => {
    const chooseTableFault = createSequence(
      TableFault.Delayed,
      ...new Array<TableFault>(8).fill(TableFault.RequestLost),
      TableFault.None,
    );
    const { violations, transcript } = await runScenario(
      [createBookingChain(0, 0, true), createBookingChain(1, 30_000)],
      {
        chooseTableFault,
      },
    );
    t.same(violations, []);
    t.matchSnapshot(transcript, "transcript");
  },
);

t.test(
  "a booking runs at most once when its holder freezes for minutes between claim and dispatch",
  async (t) => {
    const chooseFreezeDuration: ClaimsFaults["chooseFreezeDuration"] = (moment, entryVm) =>
      moment === "dispatch" && entryVm === "entry-a" ? 180_000 : 0;
    const { violations, transcript } = await runScenario(
      [createBookingChain(0, 0), createBookingChain(1, 1_000), createBookingChain(2, 200_000)],
      { chooseFreezeDuration },
    );
    t.same(violations, []);
    t.matchSnapshot(transcript, "transcript");
  },
);

t.test(
  "a booking runs at most once when the connection fails after the request was written",
  async (t) => {
    const chains = [[...createBookingChain(0, 0, true), ...createBookingChain(1, 100)]];
    const { violations, transcript } = await runScenario(chains, {
      chooseServiceFault: () => "responseLost",
    });
    t.same(violations, []);
    t.matchSnapshot(transcript, "transcript");
  },
);

t.test(
  "a booking is reported as not run during a store outage and runs once on a retry",
  async (t) => {
    const simulation = new Simulation();
    const isUnavailable = (): boolean => simulation.now < 6_000;
    const chains = [[...createBookingChain(0, 0, true), ...createBookingChain(1, 3_000)]];
    const history = await runClaims(simulation, chains, { ...noFaults, isUnavailable });
    t.same(checkBookings(history.runs, history.responses), []);
    t.same(
      history.responses.map(({ run }) => run),
      [RunState.NotRun, RunState.Ran],
    );
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
  },
);

t.test(
  "two failures: a booking runs at most once when its claim's response is lost and its holder freezes",
  async (t) => {
    const faults = {
      chooseTableFault: createSequence(TableFault.ResponseLost, TableFault.None),
      chooseFreezeDuration: (moment: string, entryVm: string) =>
        moment === "arrival" && entryVm === "entry-a" ? 60_000 : 0,
    };
    const { violations, transcript } = await runScenario(
      [createBookingChain(0, 0), createBookingChain(1, 10)],
      faults,
    );
    t.same(violations, []);
    t.matchSnapshot(transcript, "transcript");
  },
);

t.test(
  "two failures: a booking runs at most once when the service's response is lost and the store fails before the verdict",
  async (t) => {
    const simulation = new Simulation();
    const isUnavailable = (): boolean => simulation.now > 20 && simulation.now < 20_000;
    const chains = [
      [
        ...createBookingChain(0, 0, true),
        ...createBookingChain(1, 1_000),
        ...createBookingChain(2, 30_000),
      ],
    ];
    const faults = {
      ...noFaults,
      isUnavailable,
      chooseServiceFault: () => "responseLost" as const,
    };
    const history = await runClaims(simulation, chains, faults);
    t.same(checkBookings(history.runs, history.responses), []);
    t.matchSnapshot(`${history.transcript.join("\n")}\n`, "transcript");
  },
);

t.test("every refusal states whether the request ran", (t) => {
  const error = new RouterError(ErrorKind.OutcomeUnknown, RunState.Unknown);
  t.equal(error.run, RunState.Unknown);
  t.end();
});
