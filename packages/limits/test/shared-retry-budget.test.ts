//! The distributed retry budget under its worst load: every request fails.
import t from "tap";
import { SharedRetryBudget, RetryPurpose } from "../src/index.js";

const options = { ratio: 0.2, window: 10_000, slack: 200 };

// Every request of each entry VM attempts a retry for a minute. Returns whether every window
// stays within the budget.
function staysWithinBudget(entryVms: number, requestsPerSecond: number): boolean {
  const budgets = Array.from({ length: entryVms }, () => new SharedRetryBudget(options));
  const retryTimes: number[] = [];
  const requestTimes: number[] = [];
  const step = 1_000 / requestsPerSecond;
  for (let index = 0; index * step < 60_000; index += 1) {
    const now = index * step;
    const budget = budgets[index % entryVms];
    budget?.recordRequest("portal", now);
    requestTimes.push(now);
    if (budget?.trySpend("portal", entryVms, now, RetryPurpose.Resume) === true)
      retryTimes.push(now);
  }
  return requestTimes.every((end) => {
    const countInWindow = (times: readonly number[]) =>
      times.filter((time) => time > end - options.window && time <= end).length;
    return countInWindow(retryTimes) <= countInWindow(requestTimes) * options.ratio + options.slack;
  });
}

t.test("all entry VMs together stay within the ratio and the slack in every window", (t) => {
  t.ok(staysWithinBudget(1, 50));
  t.ok(staysWithinBudget(9, 50));
  t.ok(staysWithinBudget(90, 150));
  t.end();
});

// One entry VM receives nearly all failures and borrows from the others whenever possible.
function simulateBorrowing(entryVms: number): { spent: number; isWithinBudget: boolean } {
  const budgets = Array.from({ length: entryVms }, () => new SharedRetryBudget(options));
  const retryTimes: number[] = [];
  const requestTimes: number[] = [];
  for (let index = 0; index < 6_000; index += 1) {
    const now = index * 10;
    const receiverIndex = index % entryVms;
    budgets[receiverIndex]?.recordRequest("model", now);
    requestTimes.push(now);
    const hasFailure = receiverIndex === 0 || index % 10 === 0;
    if (!hasFailure) continue;
    const borrower = budgets[0];
    for (const { service } of borrower?.findNeeds(entryVms, now) ?? []) {
      const lender = budgets[1 + (index % (entryVms - 1))];
      borrower?.borrow(service, lender?.lend(service, entryVms, now + 3) ?? 0, now);
    }
    for (let attempt = 0; attempt < 5; attempt += 1)
      if (borrower?.trySpend("model", entryVms, now, RetryPurpose.Resume) === true)
        retryTimes.push(now);
    const receiver = budgets[receiverIndex];
    if (receiver?.trySpend("model", entryVms, now, RetryPurpose.Resume) === true)
      retryTimes.push(now);
  }
  const countInWindow = (times: readonly number[], end: number) =>
    times.filter((time) => time > end - options.window && time <= end).length;
  return {
    spent: retryTimes.length,
    isWithinBudget: requestTimes.every(
      (end) =>
        countInWindow(retryTimes, end) <=
        countInWindow(requestTimes, end) * options.ratio + options.slack,
    ),
  };
}

t.test("an entry VM with most failures borrows, and all together stay within the budget", (t) => {
  const { spent, isWithinBudget } = simulateBorrowing(20);
  t.ok(isWithinBudget, "no window has more retries than all entry VMs may send together");
  // Without loans one of twenty entry VMs could spend a twentieth of the budget per window.
  const ownAllowance = (options.slack + options.ratio * 1_000) / 20;
  t.ok(spent > 6 * ownAllowance * 3, `${spent} retries in six windows`);
  t.end();
});

t.test(
  "one of many entry VMs borrows when its few retries run low, not from the first retry on",
  (t) => {
    const budget = new SharedRetryBudget({ ratio: 0, window: 1_000, slack: 960 });
    const isRunningShort = () => budget.findNeeds(90, 0).length > 0;
    const allowance = 8;
    const isShortBeforeRetry: boolean[] = [];
    for (let spent = 0; spent < allowance; spent += 1) {
      isShortBeforeRetry.push(isRunningShort());
      budget.trySpend("model", 90, 0, RetryPurpose.Resume);
    }
    t.same(isShortBeforeRetry, [false, false, false, false, true, true, true, true]);
    t.end();
  },
);

t.test("lent retries return to the lender a window after they can last have been spent", (t) => {
  const lender = new SharedRetryBudget({ ratio: 0, window: 1_000, slack: 40 });
  t.equal(lender.lend("model", 1, 0), 15);
  const countSpent = (now: number) =>
    Array.from({ length: 60 }, () => lender.trySpend("model", 1, now, RetryPurpose.Resume)).filter(
      Boolean,
    ).length;
  t.equal(countSpent(10), 15);
  t.equal(
    countSpent(1_011),
    15,
    "the borrower may spend the loan until 100, a tenth of the window",
  );
  t.equal(countSpent(1_101), 15);
  t.end();
});

t.test("each service has a separate budget", (t) => {
  const budget = new SharedRetryBudget({ ratio: 0, window: 1_000, slack: 2 });
  t.equal(budget.trySpend("portal", 1, 0, RetryPurpose.Resume), true);
  t.equal(budget.trySpend("portal", 1, 0, RetryPurpose.Resume), false);
  t.equal(budget.trySpend("model", 1, 0, RetryPurpose.Resume), true);
  t.equal(
    budget.trySpend("portal", 1, 1_500, RetryPurpose.Resume),
    true,
    "the next window has a new budget",
  );
  t.end();
});

t.test("one entry VM does not spend the slack of the others", (t) => {
  const budget = new SharedRetryBudget({ ratio: 0, window: 1_000, slack: 20 });
  const spentRetries = Array.from({ length: 20 }, () =>
    budget.trySpend("portal", 10, 0, RetryPurpose.Resume),
  ).filter(Boolean);
  t.equal(spentRetries.length, 1);
  t.end();
});

t.test("the last part of the budget is reserved for answers that the caller is reading", (t) => {
  const budget = new SharedRetryBudget({ ratio: 0, window: 1_000, slack: 40 });
  const countSpent = (purpose: RetryPurpose) =>
    Array.from({ length: 40 }, () => budget.trySpend("model", 1, 0, purpose)).filter(Boolean)
      .length;
  t.equal(countSpent(RetryPurpose.Start), 21);
  t.equal(countSpent(RetryPurpose.Resume), 9);
  t.end();
});
