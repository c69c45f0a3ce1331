//! The time limits of entry VMs in tests: the shortest that a deployment names.
import type { EntryLimits } from "../src/entry-dependencies.js";

export const entryLimits: EntryLimits = {
  retryBudget: { ratio: 0.2, window: 10_000, slack: 100 },
  shutdownTimeout: 8_000,
  drainDelay: 2_000,
  propagationTime: 2_000,
};
