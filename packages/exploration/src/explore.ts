//! Property-based exploration of a scenario: draws random schedules (lists of choices),
//! runs the scenario in a simulation with each, and shrinks the first schedule that
//! violates an invariant.
import fc from "fast-check";
import { Simulation } from "./simulation.js";

/// Runs one schedule and returns the violated invariants, none when all hold.
export type Scenario = (simulation: Simulation) => Promise<readonly string[]>;

/// The result of an exploration. `exploredCount` is the number of drawn schedules that ran,
/// `schedule` the shrunk list of choices that violates an invariant, and `description` names
/// the violations.
export interface Exploration {
  readonly exploredCount: number;
  readonly violation:
    { readonly schedule: readonly number[]; readonly description: string } | undefined;
}

const maximumScheduleLength = 120;
const maximumChoice = 1_000_000;

/// Explores up to `count` schedules drawn from `seed` and stops at the first violation.
/// With `shouldShrink` it then searches for a shorter schedule that also fails.
export async function explore(
  scenario: Scenario,
  seed: number,
  count: number,
  shouldShrink = true,
): Promise<Exploration> {
  let lastViolations = "";
  const schedules = fc.array(fc.nat(maximumChoice), {
    maxLength: maximumScheduleLength,
    size: "max",
  });
  const result = await fc.check(
    fc.asyncProperty(schedules, async (choices) => {
      const violations = await scenario(new Simulation(choices));
      if (violations.length > 0) lastViolations = violations.join("; ");
      return violations.length === 0;
    }),
    { seed, numRuns: count, endOnFailure: !shouldShrink },
  );
  const schedule = result.counterexample?.[0];
  if (!result.failed) return { exploredCount: result.numRuns, violation: undefined };
  return {
    exploredCount: result.numRuns,
    violation: { schedule: schedule ?? [], description: lastViolations },
  };
}
