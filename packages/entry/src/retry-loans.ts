//! Loans of retry budget between entry VMs. Failures are distributed unevenly, and with many
//! entry VMs an equal share of the budget is only a few retries, so an entry VM that runs
//! short borrows from a peer.
import { validate, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { SharedRetryBudget } from "@lovagebend/limits";
import * as z from "zod";
import type { Peers } from "./peers.js";

const lendMethod = "lendRepeats";
// Allows one or two loan requests within the time for which an answer may pause.
const borrowInterval: Milliseconds = 100;

const requestSchema = z.object({ service: z.string() });
const loanSchema = z.number().int().nonnegative();

export interface RetryLoanParts {
  readonly budget: SharedRetryBudget;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly logger: Logger;
}

/// Lends retries to peers, and borrows from them when this entry VM runs short, until
/// `signal` aborts. If the reply with a loan is lost, neither side spends that loan.
export async function exchangeRetryLoans(
  { budget, peers, clock, logger }: RetryLoanParts,
  signal: AbortSignal,
): Promise<void> {
  peers.registerMethod(lendMethod, (parameters) => {
    const request = validate(requestSchema, parameters);
    if (request.isErr) return 0;
    return budget.lend(request.value.service, peers.directory.count(), clock.monotonicTime());
  });
  while (!signal.aborted) {
    await clock.sleep(borrowInterval, signal);
    for (const service of budget.findServicesRunningShort(
      peers.directory.count(),
      clock.monotonicTime(),
    )) {
      const requestedAt = clock.monotonicTime();
      const loan = validate(loanSchema, await peers.callLivePeer(lendMethod, { service }, signal));
      if (loan.isErr || loan.value === 0) continue;
      budget.borrow(service, loan.value, requestedAt);
      logger.info("repeats borrowed", { service, repeats: loan.value });
    }
  }
}
