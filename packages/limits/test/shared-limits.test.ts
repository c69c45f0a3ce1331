//! Limits that targets name, kept by several entry VMs over many schedules: messages between
//! entry VMs are delayed or lost, the granting entry VM changes, entry VMs restart and disagree.
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { getGrantSize, HeldGrants, NamedLimits, RequestGranter } from "../src/index.js";

const target = "target-1";
const born = 1;
const window = 4_000;

interface Schedule {
  readonly seed: number;
  readonly entryVms: number;
  readonly limit: number;
  /// Requests per second of all entry VMs together.
  readonly demand: number;
  /// The share of the entry VMs that receive all requests.
  readonly busyShare?: number;
}

// Plays 30 seconds and returns the times at which the target received requests. The granting
// entry VM changes every few seconds; for up to 1.5 s after that the entry VMs disagree on it.
function play({ seed, entryVms, limit, demand, busyShare = 1 }: Schedule): number[] {
  const random = xoroshiro128plus(seed);
  const pick = (limitOfPick: number) => uniformInt(random, 0, limitOfPick - 1);
  const granters = Array.from({ length: entryVms }, () => new RequestGranter());
  const held = Array.from({ length: entryVms }, () => new HeldGrants());
  const busy = Math.max(1, Math.floor(entryVms * busyShare));
  const received: number[] = [];
  let [previousHolder, holder, changedAt, nextChangeAt] = [0, 0, 0, 5_000];
  for (let now = 0; now < 30_000; now += 1_000 / demand) {
    if (now >= nextChangeAt) {
      [previousHolder, holder, changedAt] = [holder, pick(entryVms), now];
      nextChangeAt = now + 4_000 + pick(6_000);
      const restarted = pick(entryVms);
      granters[restarted] = new RequestGranter();
      held[restarted] = new HeldGrants();
    }
    const vm = pick(busy);
    const local = held[vm]?.take(target, born, now);
    if (local?.kind === "granted") received.push(now);
    if (local?.kind !== "unknown") continue;
    const isOutdated = now - changedAt < 1_500 && vm % 2 === 0;
    const isLost = pick(20) === 0;
    const grant = granters[isOutdated ? previousHolder : holder]?.grant(
      target,
      born,
      limit,
      getGrantSize(limit),
      now,
    );
    const reply = grant === undefined || isLost ? { granted: 0, retryAfter: 200 } : grant;
    held[vm]?.record(target, born, reply, now);
    if (reply.granted > 0) received.push(now);
  }
  return received;
}

function countMost(times: readonly number[]): number {
  const sorted = [...times].sort((left, right) => left - right);
  let [most, first] = [0, 0];
  for (const [index, time] of sorted.entries()) {
    while ((sorted[first] ?? 0) <= time - window) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

// Guards against LIMIT: all entry VMs together send a target more than it takes.
t.test("in any four seconds a target gets at most one and a half times its limit and five", (t) => {
  for (const limit of [0, 0.5, 1, 1.9, 5, 20, 100, 1_000])
    for (const entryVms of [1, 6, 9, 90])
      for (let seed = 1; seed <= 6; seed += 1) {
        const busyShare = seed % 2 === 0 ? 1 : 0.2;
        const times = play({ seed, entryVms, limit, demand: 50 + limit * 3, busyShare });
        const allowed = 1.5 * limit * (window / 1_000) + 5;
        const most = countMost(times);
        if (most > allowed) t.fail(`limit ${limit}, ${entryVms} VMs, seed ${seed}: ${most}`);
      }
  t.pass("all schedules played");
  t.end();
});

t.test("most of a limit is used where the demand exceeds it, also by few entry VMs", (t) => {
  for (const limit of [0.5, 1.9, 5, 20, 100])
    for (const entryVms of [6, 90])
      for (const busyShare of [0.02, 1]) {
        const times = play({ seed: 3, entryVms, limit, demand: 50 + limit * 3, busyShare });
        const share = times.length / 30 / limit;
        t.ok(share >= 0.6, `limit ${limit}, ${entryVms} VMs: ${share.toFixed(2)} used`);
      }
  t.end();
});

t.test("a target with a limit of 0 is tried, so that its limit can be lifted", (t) => {
  const times = play({ seed: 1, entryVms: 6, limit: 0, demand: 20 });
  t.ok(times.length >= 3);
  t.ok(countMost(times) <= 5);
  t.end();
});

t.test("values that are no limit are ignored, and zero is one", (t) => {
  const limits = new NamedLimits();
  limits.recordAnswer(target, born, "2.5", 0, 10);
  for (const header of ["-1", "NaN", "", "many", "Infinity", "1e3", "0x10", " "]) {
    limits.recordAnswer(target, born, header, 20, 30);
    t.equal(limits.getLimit(target, born), 2.5, JSON.stringify(header));
  }
  limits.recordAnswer(target, born, "3, 1.5", 40, 50);
  t.equal(limits.getLimit(target, born), 1.5, "the smaller of two values counts");
  limits.recordAnswer(target, born, "0", 60, 70);
  t.equal(limits.getLimit(target, born), 0);
  t.end();
});

t.test("an answer without a limit lifts it, unless its request is older", (t) => {
  const limits = new NamedLimits();
  limits.recordAnswer(target, born, "2", 0, 100);
  t.equal(limits.recordAnswer(target, born, undefined, 50, 150), false);
  t.equal(limits.getLimit(target, born), 2, "the answer overtook the one with the limit");
  t.equal(limits.recordAnswer(target, born, undefined, 110, 200), true);
  t.equal(limits.getLimit(target, born), undefined);
  t.end();
});

t.test("a new process of a target has no limit of the one before", (t) => {
  const limits = new NamedLimits();
  limits.recordAnswer(target, 1, "2", 0, 100);
  t.equal(limits.getLimit(target, 2), undefined);
  limits.recordAnswer(target, 2, "5", 200, 210);
  t.equal(limits.merge({ target, born: 1, limit: 1, at: 300 }), false);
  t.equal(limits.getLimit(target, 2), 5);
  t.end();
});

t.test("peers learn limits and that they are lifted; the latest answer counts", (t) => {
  const [left, right] = [new NamedLimits(), new NamedLimits()];
  const send = (from: NamedLimits, to: NamedLimits, now: number) =>
    from.listOwn(now).map((limit) => to.merge(limit));
  left.recordAnswer(target, born, "2", 0, 100);
  t.same(send(left, right, 150), [true]);
  t.equal(right.getLimit(target, born), 2);
  right.recordAnswer(target, born, undefined, 200, 250);
  t.same(send(left, right, 260), [false], "an older limit does not return");
  t.same(send(right, left, 270), [true]);
  t.equal(left.getLimit(target, born), undefined);
  t.same(left.listOwn(60_000), [], "a limit that is not confirmed is not sent");
  t.end();
});
