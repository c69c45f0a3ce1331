//! Loans of the distributed retry budget: what all entry VMs send together in any window, when
//! loans move between them and replies are lost, entry VMs start again or are cut off.
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
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

interface Trouble {
  readonly lostReplies: number;
  /// An entry VM starts again each time.
  readonly restartInterval: number;
  /// Loans between even and odd entry VMs are lost from the 20th second on, for so long.
  readonly partition: number;
}

// Twenty entry VMs, of which each half in turn has all failures, exchange loans. Returns the retries sent,
// and how far the worst window is over the bound.
function playFleet({ lostReplies, restartInterval, partition }: Trouble, seed: number) {
  const entryVms = 20;
  const options = { ratio: 0.2, window: 10_000, slack: 200 };
  const random = xoroshiro128plus(seed);
  const draw = (end: number) => uniformInt(random, 0, end - 1);
  const budgets = Array.from({ length: entryVms }, () => new SharedRetryBudget(options));
  const requestTimes: number[] = [];
  const retryTimes: number[] = [];
  const isCut = (left: number, right: number, now: number) =>
    left % 2 !== right % 2 && now >= 20_000 && now < 20_000 + partition;
  for (let now = 0; now < 60_000; now += 20) {
    if (now > 0 && now % restartInterval === 0)
      budgets[draw(entryVms)] = new SharedRetryBudget(options);
    budgets[draw(entryVms)]?.recordRequest(service, now);
    requestTimes.push(now);
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const index = (draw(10) + (Math.floor(now / 7_000) % 2) * 10) % entryVms;
      const purpose = draw(2) === 0 ? RetryPurpose.Start : RetryPurpose.Resume;
      if (budgets[index]?.trySpend(service, entryVms, now, purpose) === true) retryTimes.push(now);
    }
    if (now % 100 !== 0) continue;
    for (const [index, borrower] of budgets.entries())
      for (const { purpose, retries } of borrower.findNeeds(entryVms, now))
        for (let asked = 0; asked < 4; asked += 1) {
          const other = (index + 1 + draw(entryVms - 1)) % entryVms;
          if (isCut(index, other, now)) continue;
          const lent = budgets[other]?.lend(service, entryVms, now + 10, retries, purpose) ?? 0;
          if (draw(100) >= lostReplies * 100) borrower.borrow(service, lent, now);
        }
  }
  const countInWindow = (times: readonly number[], end: number) =>
    times.filter((time) => time > end - options.window && time <= end).length;
  const excess = requestTimes
    .filter((time) => time >= options.window)
    .map(
      (end) =>
        countInWindow(retryTimes, end) -
        countInWindow(requestTimes, end) * options.ratio -
        options.slack,
    );
  return { spent: retryTimes.length, worst: Math.max(...excess) };
}

const troubles: readonly Trouble[] = [
  { lostReplies: 0, restartInterval: Infinity, partition: 0 },
  { lostReplies: 0.3, restartInterval: Infinity, partition: 0 },
  { lostReplies: 0, restartInterval: 5_000, partition: 0 },
  { lostReplies: 0.3, restartInterval: 5_000, partition: 12_000 },
];
for (const trouble of troubles)
  t.test(`no window exceeds the budget with ${JSON.stringify(trouble)}`, (t) => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const { spent, worst } = playFleet(trouble, seed);
      t.ok(worst <= 0, `seed ${seed}: ${spent} retries, ${worst} over the bound`);
    }
    t.end();
  });

t.test("a stream that waits is lent the last retry, a request that begins is not", (t) => {
  const options = { ratio: 0, window: 10_000, slack: 8 };
  const lender = new SharedRetryBudget(options);
  while (lender.trySpend(service, 1, 0, RetryPurpose.Start));
  lender.trySpend(service, 1, 0, RetryPurpose.Resume);
  t.equal(lender.lend(service, 1, 10, 4, RetryPurpose.Start), 0);
  t.equal(lender.lend(service, 1, 10, 4, RetryPurpose.Resume), 1);
  t.equal(lender.lend(service, 1, 10, 4, RetryPurpose.Resume), 0);
  t.end();
});

t.test("no more is lent than is needed", (t) => {
  const lender = new SharedRetryBudget({ ratio: 0, window: 10_000, slack: 80 });
  t.equal(lender.lend(service, 1, 0, 3, RetryPurpose.Resume), 3);
  t.end();
});

t.test("an entry VM in which a stream waits lends nothing", (t) => {
  const lender = new SharedRetryBudget({ ratio: 0, window: 1_000, slack: 8 });
  while (lender.trySpend(service, 1, 0, RetryPurpose.Resume));
  t.equal(lender.trySpend(service, 1, 950, RetryPurpose.Resume), false);
  t.equal(lender.lend(service, 1, 1_010, 1, RetryPurpose.Resume), 0);
  t.equal(lender.lend(service, 1, 1_500, 1, RetryPurpose.Resume), 1);
  t.end();
});

t.test("streams that wait need a loan each, until it is there", (t) => {
  const budget = new SharedRetryBudget({ ratio: 0, window: 10_000, slack: 0 });
  for (let stream = 0; stream < 3; stream += 1) budget.trySpend(service, 1, 0, RetryPurpose.Resume);
  t.same(budget.findNeeds(1, 0), [{ service, purpose: RetryPurpose.Resume, retries: 3 }]);
  budget.borrow(service, 2, 0);
  t.same(budget.findNeeds(1, 50), [{ service, purpose: RetryPurpose.Resume, retries: 1 }]);
  t.same(budget.findNeeds(1, 100), [], "they would have asked again");
  t.end();
});
