//! The registry of benchmarks by the name on the command line.
import type { BenchResult } from "./bench-result.js";
import { benchLagging } from "./lagging.js";
import { benchOverhead } from "./overhead.js";
import { benchOverload } from "./overload.js";
import { benchRecovery } from "./recovery.js";
import { benchShares } from "./shares.js";
import { benchThroughput } from "./throughput.js";
import { benchWeights } from "./weights.js";

export const benches: ReadonlyMap<string, (seed: number) => Promise<BenchResult> | BenchResult> =
  new Map<string, (seed: number) => Promise<BenchResult> | BenchResult>([
    ["overhead", benchOverhead],
    ["throughput", benchThroughput],
    ["recovery", benchRecovery],
    ["overload", benchOverload],
    ["shares", benchShares],
    ["lagging", benchLagging],
    ["weights", benchWeights],
  ]);
