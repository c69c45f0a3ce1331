//! Command line of `npm run explore`: explores schedules of every scenario and prints each
//! violation with its shrunk schedule. The last line of output is one JSON object with the
//! numbers of schedules and violations. With `--schedule` it runs only that schedule and
//! prints its transcript. The exit code is 1 when a scenario has a violation.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { explore } from "./explore.js";
import { scenarios } from "./scenarios.js";
import { Simulation } from "./simulation.js";

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1, describe: "seed from which schedules are drawn" })
  .option("count", { type: "number", default: 2_000, describe: "number of schedules per scenario" })
  .option("decision", {
    type: "string",
    choices: [...scenarios.keys()],
    describe: "explore only this scenario",
  })
  .option("schedule", {
    type: "string",
    describe: "run this schedule (JSON array) and print its transcript",
  })
  .strict()
  .parseAsync();

if (options.schedule !== undefined) {
  const scenario = scenarios.get(options.decision ?? "");
  const simulation = new Simulation(JSON.parse(options.schedule) as number[]);
  const violations = (await scenario?.(simulation)) ?? ["--schedule requires --decision"];
  process.stdout.write(`${[...simulation.transcript, ...violations].join("\n")}\n`);
  process.exit(violations.length === 0 ? 0 : 1);
}

let exploredCount = 0;
let violationCount = 0;
for (const [name, scenario] of scenarios) {
  if (options.decision !== undefined && options.decision !== name) continue;
  const result = await explore(scenario, options.seed, options.count);
  exploredCount += result.exploredCount;
  const violation = result.violation;
  if (violation === undefined) {
    process.stdout.write(`${name}: ${result.exploredCount} schedules, no violation found\n`);
    continue;
  }
  violationCount += 1;
  process.stdout.write(`${name}: seed ${options.seed}: ${violation.description}\n`);
  process.stdout.write(`  schedule ${JSON.stringify(violation.schedule)}\n`);
}
process.stdout.write(
  `${JSON.stringify({ explored: exploredCount, violations: violationCount, seed: options.seed })}\n`,
);
process.exitCode = violationCount === 0 ? 0 : 1;
