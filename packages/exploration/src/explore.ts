//! Explores schedules of one decision: draws lists of choices, runs the scenario on
//! each, and shrinks the first that breaks a promise.
import fc from "fast-check";
import { World } from "./world.js";

/// Runs one schedule and returns the broken promises.
export type Scenario = (world: World) => Promise<readonly string[]>;

/// `schedule` is the shrunk list of choices that breaks a promise.
export interface Exploration {
  readonly explored: number;
  readonly violation: { readonly schedule: readonly number[]; readonly what: string } | undefined;
}

const longestSchedule = 120;
const largestChoice = 1_000_000;

/// Explores `count` schedules drawn from `seed`. `shrinks` says whether to look for a
/// short schedule when one breaks a promise.
export async function explore(
  scenario: Scenario,
  seed: number,
  count: number,
  shrinks = true,
): Promise<Exploration> {
  let what = "";
  const schedules = fc.array(fc.nat(largestChoice), { maxLength: longestSchedule, size: "max" });
  const details = await fc.check(
    fc.asyncProperty(schedules, async (choices) => {
      const violations = await scenario(new World(choices));
      if (violations.length > 0) what = violations.join("; ");
      return violations.length === 0;
    }),
    { seed, numRuns: count, endOnFailure: !shrinks },
  );
  const schedule = details.counterexample?.[0];
  if (!details.failed) return { explored: details.numRuns, violation: undefined };
  return { explored: details.numRuns, violation: { schedule: schedule ?? [], what } };
}
