//! The command `npm run bench -- NAME`: runs one benchmark or all of them and prints the
//! results. The last line of the output is one JSON object.
import { writeFile } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { BenchResult } from "./bench-result.js";
import { benches } from "./benches.js";
import { measureControl } from "./control.js";
import { renderResultsHtml, formatResults, formatSlopes } from "./results.js";

const options = await yargs(hideBin(process.argv))
  .command("$0 <name>", "run a benchmark", (command) =>
    command.positional("name", {
      type: "string",
      demandOption: true,
      choices: [...benches.keys(), "control", "all"],
    }),
  )
  .option("seed", { type: "number", default: 7 })
  .option("html", {
    type: "string",
    default: "bench.html",
    describe: "file to which `all` writes the HTML report",
  })
  .strict()
  .parseAsync();

const name = options.name as string;
if (name === "control") {
  const slopes = await measureControl();
  process.stdout.write(
    `${formatSlopes(slopes)}\n${JSON.stringify({ bench: "control", slopes })}\n`,
  );
} else if (name === "all") {
  const results: BenchResult[] = [];
  for (const bench of benches.values()) results.push(await bench(options.seed));
  await writeFile(options.html, renderResultsHtml(results));
  process.stdout.write(`${formatResults(results)}\n`);
  process.stdout.write(`${JSON.stringify({ bench: "all", seed: options.seed, results })}\n`);
} else {
  const result = await benches.get(name)?.(options.seed);
  if (result !== undefined)
    process.stdout.write(`${formatResults([result])}\n${JSON.stringify(result)}\n`);
}
