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
