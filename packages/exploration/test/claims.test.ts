//! Points 3 and 4: a booking runs at most once, and "not run" is true.
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
import { judgeBookings } from "../src/judge.js";
import { Simulation } from "../src/world.js";

const scheduleCount = 400;
const seeds = [11, 12, 13];
const drawsPerFault = 5;
const noFaults: ClaimsFaults = {
  chooseTableFault: () => TableFault.None,
  isUnavailable: () => false,
  chooseFreezeDuration: () => 0,
  chooseServiceFault: () => "none",
};

function createBookingChain(entryVm: number, at: number, isFirst = false): PlannedBooking[] {
  return [{ key: "key-1", entryVm, at, isFirst }];
}

/// Answers with the given values, then with the last.
function createSequence<T>(first: T, ...rest: T[]): () => T {
  let lastValue = first;
  const queue = [first, ...rest];
  return () => {
    lastValue = queue.shift() ?? lastValue;
    return lastValue;
  };
}

async function runSession(
  chains: readonly PlannedBooking[][],
  faults: Partial<ClaimsFaults>,
  runner?: BookingRunner,
): Promise<{ violations: string[]; transcript: string }> {
  const simulation = new Simulation();
  const history = await runClaims(simulation, chains, { ...noFaults, ...faults }, runner);
  const violations = judgeBookings(history.runs, history.responses);
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
      return judgeBookings(runs, responses);
    },
    11,
    2_000,
    false,
  );
}

/// Sends without a claim and tries again after silence.
const dispatchWithoutClaim: BookingRunner = async (_ledger, _request, dispatch) => {
  const first = await dispatch();
  const last = first.kind === "unknown" ? await dispatch() : first;
  return { run: last.kind === "ran" ? "ran" : "not_run" };
};

/// Takes the silence of the store for a grant.
const treatUnavailableAsGranted: BookingRunner = async (ledger, request, dispatch) => {
  const outcome = await ledger.claim(request);
  if (outcome.kind !== "granted" && outcome.kind !== "unavailable") return { run: "unknown" };
  return { run: (await dispatch()).kind === "ran" ? "ran" : "unknown" };
};

/// Takes a claim that another entry VM holds for proof that nothing ran.
const reportHeldAsNotRun: BookingRunner = async (ledger, request, dispatch) => {
  const outcome = await ledger.claim(request);
  if (outcome.kind !== "granted") return { run: "not_run" };
  const verdict = await dispatch();
  await ledger.settle(request.key, outcome.claim, verdict);
  return { run: verdict.kind === "ran" ? "ran" : "unknown" };
};

/// Says "not run" whenever the store is silent, whatever the caller sent before.
const reportUnavailableAsNotRun: BookingRunner = async (ledger, request, dispatch) => {
  const outcome = await ledger.claim(request);
  if (outcome.kind === "unavailable") return { run: "not_run" };
  if (outcome.kind !== "granted") return { run: "unknown" };
  const verdict = await dispatch();
  await ledger.settle(request.key, outcome.claim, verdict);
  return { run: verdict.kind === "ran" ? "ran" : "unknown" };
};

t.test("bookings run at most once and are never falsely called not run", async (t) => {
  for (const seed of seeds) {
    const result = await explore(
      async (simulation) => {
        const chains = drawBookings(simulation);
        const { runs, responses } = await runClaims(
          simulation,
          chains,
          drawClaimsFaults(simulation, drawsPerFault),
        );
        return judgeBookings(runs, responses);
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
  t.test(`the plain way ${name} breaks a promise`, async (t) => {
    const result = await exploreWithRunner(runner);
    t.not(result.violation, undefined);
    t.matchSnapshot(result.violation?.what ?? "", "what broke");
  });
}

t.test("the same key reaches two entry VMs at once", async (t) => {
  const { violations, transcript } = await runSession(
    [createBookingChain(0, 0), createBookingChain(1, 1)],
    {},
  );
  t.same(violations, []);
  t.matchSnapshot(transcript, "session");
});

t.test("the claim's answer is lost after it took effect", async (t) => {
  const faults = { chooseTableFault: createSequence(TableFault.ResponseLost, TableFault.None) };
  const { violations, transcript } = await runSession([createBookingChain(0, 0)], faults);
  t.same(violations, []);
  t.matchSnapshot(transcript, "session");
});

t.test("the claim takes effect after its holder has given up", async (t) => {
  const chooseTableFault = createSequence(
    TableFault.Delayed,
    ...new Array<TableFault>(8).fill(TableFault.RequestLost),
    TableFault.None,
  );
  const { violations, transcript } = await runSession(
    [createBookingChain(0, 0, true), createBookingChain(1, 30_000)],
    {
      chooseTableFault,
    },
  );
  t.same(violations, []);
  t.matchSnapshot(transcript, "session");
});

t.test("a holder is frozen between claim and dispatch and wakes minutes later", async (t) => {
  const chooseFreezeDuration: ClaimsFaults["chooseFreezeDuration"] = (moment, entryVm) =>
    moment === "dispatch" && entryVm === "entry-a" ? 180_000 : 0;
  const { violations, transcript } = await runSession(
    [createBookingChain(0, 0), createBookingChain(1, 1_000), createBookingChain(2, 200_000)],
    { chooseFreezeDuration },
  );
  t.same(violations, []);
  t.matchSnapshot(transcript, "session");
});

t.test("the connection dies after the booking's bytes were written", async (t) => {
  const chains = [[...createBookingChain(0, 0, true), ...createBookingChain(1, 100)]];
  const { violations, transcript } = await runSession(chains, {
    chooseServiceFault: () => "answerLost",
  });
  t.same(violations, []);
  t.matchSnapshot(transcript, "session");
});

t.test("the store is out, the caller hears not run, and a later try runs once", async (t) => {
  const simulation = new Simulation();
  const isUnavailable = (): boolean => simulation.now < 6_000;
  const chains = [[...createBookingChain(0, 0, true), ...createBookingChain(1, 3_000)]];
  const history = await runClaims(simulation, chains, { ...noFaults, isUnavailable });
  t.same(judgeBookings(history.runs, history.responses), []);
  t.same(
    history.responses.map(({ run }) => run),
    [RunState.NotRun, RunState.Ran],
  );
  t.matchSnapshot(`${history.transcript.join("\n")}\n`, "session");
});

t.test("two failures: the claim's answer is lost and its holder freezes", async (t) => {
  const faults = {
    chooseTableFault: createSequence(TableFault.ResponseLost, TableFault.None),
    chooseFreezeDuration: (moment: string, entryVm: string) =>
      moment === "arrival" && entryVm === "entry-a" ? 60_000 : 0,
  };
  const { violations, transcript } = await runSession(
    [createBookingChain(0, 0), createBookingChain(1, 10)],
    faults,
  );
  t.same(violations, []);
  t.matchSnapshot(transcript, "session");
});

t.test("two failures: a lost answer of the service and an outage before the verdict", async (t) => {
  const simulation = new Simulation();
  const isUnavailable = (): boolean => simulation.now > 20 && simulation.now < 20_000;
  const chains = [
    [
      ...createBookingChain(0, 0, true),
      ...createBookingChain(1, 1_000),
      ...createBookingChain(2, 30_000),
    ],
  ];
  const faults = { ...noFaults, isUnavailable, chooseServiceFault: () => "answerLost" as const };
  const history = await runClaims(simulation, chains, faults);
  t.same(judgeBookings(history.runs, history.responses), []);
  t.matchSnapshot(`${history.transcript.join("\n")}\n`, "session");
});

t.test("every refusal says whether the request ran", (t) => {
  const error = new RouterError(ErrorKind.OutcomeUnknown, RunState.Unknown);
  t.equal(error.run, RunState.Unknown);
  t.end();
});
