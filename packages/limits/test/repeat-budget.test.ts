//! The budget of repeats, under the load that would break it: every request failing.
import t from "tap";
import { RepeatBudget, RepeatNeed } from "../src/index.js";

const terms = { ratio: 0.2, window: 10_000, slack: 200 };

// Every request of each entry VM wants a repeat, for a minute.
function repeatsInAnyWindow(entryVms: number, requestsPerSecond: number): boolean {
  const budgets = Array.from({ length: entryVms }, () => new RepeatBudget(terms));
  const repeats: number[] = [];
  const requests: number[] = [];
  const step = 1_000 / requestsPerSecond;
  for (let index = 0; index * step < 60_000; index += 1) {
    const now = index * step;
    const budget = budgets[index % entryVms];
    budget?.earn("portal", now);
    requests.push(now);
    if (budget?.spend("portal", entryVms, now, RepeatNeed.Resume) === true) repeats.push(now);
  }
  return requests.every((end) => {
    const inWindow = (times: readonly number[]) =>
      times.filter((time) => time > end - terms.window && time <= end).length;
    return inWindow(repeats) <= inWindow(requests) * terms.ratio + terms.slack;
  });
}

t.test("all entry VMs together stay within ratio and slack in every window", (t) => {
  t.ok(repeatsInAnyWindow(1, 50));
  t.ok(repeatsInAnyWindow(9, 50));
  t.ok(repeatsInAnyWindow(90, 150));
  t.end();
});

// One entry VM meets nearly all failures and borrows from the others whenever it may.
function repeatsOfOneThatBorrows(entryVms: number): { spent: number; isKept: boolean } {
  const budgets = Array.from({ length: entryVms }, () => new RepeatBudget(terms));
  const repeats: number[] = [];
  const requests: number[] = [];
  for (let index = 0; index < 6_000; index += 1) {
    const now = index * 10;
    const place = index % entryVms;
    budgets[place]?.earn("model", now);
    requests.push(now);
    const hasFailure = place === 0 || index % 10 === 0;
    if (!hasFailure) continue;
    const own = budgets[0];
    for (const service of own?.runningShort(entryVms, now) ?? []) {
      const lender = budgets[1 + (index % (entryVms - 1))];
      own?.borrow(service, lender?.lend(service, entryVms, now + 3) ?? 0, now);
    }
    for (let wanted = 0; wanted < 5; wanted += 1)
      if (own?.spend("model", entryVms, now, RepeatNeed.Resume) === true) repeats.push(now);
    const other = budgets[place];
    if (other?.spend("model", entryVms, now, RepeatNeed.Resume) === true) repeats.push(now);
  }
  const inWindow = (times: readonly number[], end: number) =>
    times.filter((time) => time > end - terms.window && time <= end).length;
  return {
    spent: repeats.length,
    isKept: requests.every(
      (end) => inWindow(repeats, end) <= inWindow(requests, end) * terms.ratio + terms.slack,
    ),
  };
}

t.test("one that meets most failures borrows, and all stay within the budget", (t) => {
  const { spent, isKept } = repeatsOfOneThatBorrows(20);
  t.ok(isKept, "no window has more repeats than all may send together");
  // Without loans one of twenty could spend a twentieth of the budget a window.
  const own = (terms.slack + terms.ratio * 1_000) / 20;
  t.ok(spent > 6 * own * 3, `${spent} repeats in six windows`);
  t.end();
});

t.test("one of many borrows when its few repeats run out, not from the first one on", (t) => {
  const budget = new RepeatBudget({ ratio: 0, window: 1_000, slack: 960 });
  const short = () => budget.runningShort(90, 0).length > 0;
  const part = 8;
  const wanted: boolean[] = [];
  for (let spent = 0; spent < part; spent += 1) {
    wanted.push(short());
    budget.spend("model", 90, 0, RepeatNeed.Resume);
  }
  t.same(wanted, [false, false, false, false, true, true, true, true]);
  t.end();
});

t.test("what was lent comes back after a window", (t) => {
  const lender = new RepeatBudget({ ratio: 0, window: 1_000, slack: 40 });
  t.equal(lender.lend("model", 1, 0), 15);
  const spend = (now: number) =>
    Array.from({ length: 60 }, () => lender.spend("model", 1, now, RepeatNeed.Resume)).filter(
      Boolean,
    ).length;
  t.equal(spend(10), 15);
  t.equal(spend(1_011), 30);
  t.end();
});

t.test("a service's budget is its own", (t) => {
  const budget = new RepeatBudget({ ratio: 0, window: 1_000, slack: 2 });
  t.equal(budget.spend("portal", 1, 0, RepeatNeed.Resume), true);
  t.equal(budget.spend("portal", 1, 0, RepeatNeed.Resume), false);
  t.equal(budget.spend("model", 1, 0, RepeatNeed.Resume), true);
  t.equal(budget.spend("portal", 1, 1_500, RepeatNeed.Resume), true, "the window has moved on");
  t.end();
});

t.test("what the entry VMs' number costs is not spent by one", (t) => {
  const budget = new RepeatBudget({ ratio: 0, window: 1_000, slack: 20 });
  const spent = Array.from({ length: 20 }, () =>
    budget.spend("portal", 10, 0, RepeatNeed.Resume),
  ).filter(Boolean);
  t.equal(spent.length, 1);
  t.end();
});

t.test("answers that the caller is reading have the last part of the budget", (t) => {
  const budget = new RepeatBudget({ ratio: 0, window: 1_000, slack: 40 });
  const spend = (need: RepeatNeed) =>
    Array.from({ length: 40 }, () => budget.spend("model", 1, 0, need)).filter(Boolean).length;
  t.equal(spend(RepeatNeed.First), 21);
  t.equal(spend(RepeatNeed.Resume), 9);
  t.end();
});
