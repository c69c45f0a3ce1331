//! `npm run explore`: explores fresh schedules of every decision and prints each
//! violation with its shrunk schedule. The last line is one JSON object.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { explore } from "./explore.js";
import { scenarios } from "./scenarios.js";
import { World } from "./world.js";

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1, describe: "the seed of the schedules" })
  .option("count", { type: "number", default: 2_000, describe: "schedules for each decision" })
  .option("decision", { type: "string", choices: [...scenarios.keys()], describe: "only this one" })
  .option("schedule", { type: "string", describe: "run this one schedule (JSON) and show it" })
  .strict()
  .parseAsync();

if (options.schedule !== undefined) {
  const scenario = scenarios.get(options.decision ?? "");
  const world = new World(JSON.parse(options.schedule) as number[]);
  const found = (await scenario?.(world)) ?? ["name a decision"];
  process.stdout.write(`${[...world.transcript, ...found].join("\n")}\n`);
  process.exit(found.length === 0 ? 0 : 1);
}

let explored = 0;
let violations = 0;
for (const [name, scenario] of scenarios) {
  if (options.decision !== undefined && options.decision !== name) continue;
  const result = await explore(scenario, options.seed, options.count);
  explored += result.explored;
  const found = result.violation;
  if (found === undefined) {
    process.stdout.write(`${name}: ${result.explored} schedules, nothing found\n`);
    continue;
  }
  violations += 1;
  process.stdout.write(`${name}: seed ${options.seed}: ${found.what}\n`);
  process.stdout.write(`  schedule ${JSON.stringify(found.schedule)}\n`);
}
process.stdout.write(`${JSON.stringify({ explored, violations, seed: options.seed })}\n`);
process.exitCode = violations === 0 ? 0 : 1;
