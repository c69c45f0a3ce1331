//! Loans of retry budget between entry VMs. Failures are distributed unevenly, and with many
//! entry VMs an equal share of the budget is only a few retries, so an entry VM that runs
//! short borrows from peers. A stream that waits for a retry asks several at once.
import {
  validate,
  withAnySignal,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import { RetryPurpose, type RetryNeed, type SharedRetryBudget } from "@lovagebend/limits";
import * as z from "zod";

const lendMethod = "lendRepeats";
// Allows one or two loan requests within the time for which an answer may pause.
const borrowInterval: Milliseconds = 100;
// How many peers are asked at once, and for how much more in all than is needed: some of many peers have
// nothing to lend.
const askPlans = {
  [RetryPurpose.Resume]: { count: 4, excess: 2 },
  [RetryPurpose.Start]: { count: 1, excess: 1 },
};
const maximumRetries = 1_000;

// An entry VM of an older version names the service only.
const requestSchema = z.object({
  service: z.string(),
  retries: z.number().int().positive().max(maximumRetries).default(maximumRetries),
  purpose: z.enum(RetryPurpose).default(RetryPurpose.Resume),
});
const loanSchema = z.number().int().nonnegative();

/// The calls between entry VMs that loans need.
export interface LoanPeers {
  registerMethod(method: string, handler: (parameters: unknown) => unknown): void;
  /// Calls `count` random live peers. A reply is `undefined` if the peer does not answer.
  callLivePeers(
    method: string,
    parameters: object,
    count: number,
    signal: AbortSignal,
  ): readonly Promise<unknown>[];
}

export interface RetryLoanParts {
  readonly budget: SharedRetryBudget;
  readonly peers: LoanPeers;
  readonly entryVmCount: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/// Lends retries to peers, and borrows from them when this entry VM runs short. If the reply with
/// a loan is lost, neither side spends that loan.
export class RetryLoans {
  private sleepAbort = new AbortController();

  constructor(private readonly parts: RetryLoanParts) {
    const { budget, peers, entryVmCount, clock } = parts;
    peers.registerMethod(lendMethod, (parameters) => {
      const request = validate(requestSchema, parameters);
      if (request.isErr) return 0;
      const { service, retries, purpose } = request.value;
      return budget.lend(service, entryVmCount(), clock.monotonicTime(), retries, purpose);
    });
  }

  /// Asks for loans at once, for an answer that waits for a retry, unless peers were asked within
  /// the last 100 ms.
  hasten(): void {
    this.sleepAbort.abort();
  }

  /// Borrows until `signal` aborts.
  async run(signal: AbortSignal): Promise<void> {
    const { budget, entryVmCount, clock } = this.parts;
    let askedAt: Milliseconds = -Infinity;
    while (!signal.aborted) {
      this.sleepAbort = new AbortController();
      await withAnySignal([signal, this.sleepAbort.signal], (either) =>
        clock.sleep(borrowInterval, either),
      );
      await clock.sleep(Math.max(0, askedAt + borrowInterval - clock.monotonicTime()), signal);
      const needs = budget.findNeeds(entryVmCount(), clock.monotonicTime());
      if (needs.length === 0) continue;
      askedAt = clock.monotonicTime();
      const replies = needs.flatMap((need) => this.ask(need, signal));
      await Promise.race([Promise.all(replies), clock.sleep(borrowInterval, signal)]);
    }
  }

  private ask({ service, purpose, retries }: RetryNeed, signal: AbortSignal): Promise<void>[] {
    const { budget, peers, clock, logger } = this.parts;
    const { count, excess } = askPlans[purpose];
    const requestedAt = clock.monotonicTime();
    const wanted = Math.min(maximumRetries, Math.ceil((excess * retries) / count));
    const parameters = { service, retries: wanted, purpose };
    return peers.callLivePeers(lendMethod, parameters, count, signal).map(async (reply) => {
      const loan = validate(loanSchema, await reply);
      const lent = loan.unwrapOr(0);
      budget.borrow(service, lent, requestedAt);
      if (lent > 0) logger.info("repeats borrowed", { service, purpose, wanted, repeats: lent });
    });
  }
}
