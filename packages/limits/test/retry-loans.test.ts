//! Loans of the distributed retry budget: what all entry VMs send together in any window, when
//! loans move between them and replies are lost, entry VMs start again or are cut off.
import t from "tap";
import { SharedRetryBudget, RetryPurpose } from "../src/index.js";

const service = "model";

t.test("a loan that is spent late is not spent by the lender in the same window", (t) => {
  const options = { ratio: 0, window: 1_000, slack: 80 };
  const [lender, borrower] = [new SharedRetryBudget(options), new SharedRetryBudget(options)];
  const retryTimes: number[] = [];
  const spendAll = (budget: SharedRetryBudget, now: number): void => {
    while (budget.trySpend(service, 2, now, RetryPurpose.Resume)) retryTimes.push(now);
  };
  borrower.borrow(service, lender.lend(service, 2, 0), 0);
  spendAll(borrower, 990);
  spendAll(lender, 1_010);
  t.ok(retryTimes.length <= options.slack * 0.75, `${retryTimes.length} retries in 20 ms`);
  t.end();
});

t.test("a borrowed retry can be spent for a tenth of the window", (t) => {
  const budget = new SharedRetryBudget({ ratio: 0, window: 1_000, slack: 0 });
  const trySpend = (now: number) => budget.trySpend(service, 2, now, RetryPurpose.Resume);
  budget.borrow(service, 2, 0);
  t.equal(trySpend(100), true);
  t.equal(trySpend(101), false);
  t.end();
});
