//! Repeats that entry VMs lend each other: failures come unevenly, and an even part of the
//! budget is a few repeats where there are many entry VMs.
import { validate, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { RepeatBudget } from "@lovagebend/limits";
import * as z from "zod";
import type { Peers } from "./peers.js";

const lendMethod = "lendRepeats";
// A lender or two in the time that an answer may pause.
const askPause: Milliseconds = 100;

const requestShape = z.object({ service: z.string() });
const loanShape = z.number().int().nonnegative();

export interface RepeatLoanParts {
  readonly budget: RepeatBudget;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly logger: Logger;
}

/// Lends to peers, and borrows when repeats run short, until `signal` aborts. A loan whose
/// answer is lost is spent by nobody.
export async function exchangeLoans(
  { budget, peers, clock, logger }: RepeatLoanParts,
  signal: AbortSignal,
): Promise<void> {
  peers.serve(lendMethod, (parameters) => {
    const request = validate(requestShape, parameters);
    if (request.isErr) return 0;
    return budget.lend(request.value.service, peers.count(), clock.monotonic());
  });
  while (!signal.aborted) {
    await clock.sleep(askPause, signal);
    for (const service of budget.runningShort(peers.count(), clock.monotonic())) {
      const asked = clock.monotonic();
      const lent = validate(loanShape, await peers.askSome(lendMethod, { service }, signal));
      if (lent.isErr || lent.value === 0) continue;
      budget.borrow(service, lent.value, asked);
      logger.info("repeats borrowed", { service, repeats: lent.value });
    }
  }
}
