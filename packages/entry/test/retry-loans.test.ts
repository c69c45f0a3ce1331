//! How an entry VM borrows retries from its peers.
import { RetryPurpose, SharedRetryBudget } from "@lovagebend/limits";
import t from "tap";
import { RetryLoans, type LoanPeers } from "../src/retry-loans.js";
import { VirtualClock } from "./virtual-clock.js";

const service = "model";
const ignore = (): void => undefined;
const logger = { info: ignore, warn: ignore, error: ignore };

interface Call {
  readonly at: number;
  readonly count: number;
  readonly parameters: object;
}

// An entry VM whose own budget is empty, with peers of which each lends `lent` retries after 10 ms.
function startBorrower(lent: number) {
  const clock = new VirtualClock();
  const budget = new SharedRetryBudget({ ratio: 0, window: 10_000, slack: 0 });
  const calls: Call[] = [];
  const peers: LoanPeers = {
    registerMethod: ignore,
    callLivePeers: (_method, parameters, count) => {
      calls.push({ at: clock.monotonicTime(), count, parameters });
      return Array.from({ length: count }, async () => {
        await clock.sleep(10);
        return lent;
      });
    },
  };
  const loans = new RetryLoans({ budget, peers, entryVmCount: () => 9, clock, logger });
  budget.onDecision = ({ isGranted }) => {
    if (!isGranted) loans.hasten();
  };
  const stopped = new AbortController();
  const running = loans.run(stopped.signal);
  const stop = async (): Promise<void> => {
    stopped.abort();
    await running;
  };
  const trySpend = () => budget.trySpend(service, 9, clock.monotonicTime(), RetryPurpose.Resume);
  return { clock, calls, trySpend, stop };
}

t.test("a stream that waits for a retry has several peers asked at once", async (t) => {
  const { clock, calls, trySpend, stop } = startBorrower(1);
  await clock.advanceTo(20);
  t.equal(trySpend(), false);
  await clock.advanceTo(40);
  const parameters = { service, retries: 1, purpose: RetryPurpose.Resume };
  t.same(calls, [{ at: 20, count: 4, parameters }]);
  t.equal(trySpend(), true);
  await stop();
});

t.test("peers without retries are asked again every 100 ms while streams wait", async (t) => {
  const { clock, calls, trySpend, stop } = startBorrower(0);
  for (let now = 0; now < 1_000; now += 50) {
    await clock.advanceTo(now);
    trySpend();
  }
  t.ok(calls.length >= 8 && calls.length <= 10, `${calls.length} times`);
  await stop();
});
