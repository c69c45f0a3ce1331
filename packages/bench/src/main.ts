//! `npm run bench -- NAME`: runs one benchmark, or all, and prints its result. The last
//! line is one JSON object.
import { writeFile } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { BenchResult } from "./bench-result.js";
import { benches } from "./benches.js";
import { measureControl } from "./control.js";
import { resultsHtml, resultsText, slopesText } from "./results.js";

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
    describe: "where `all` writes its page",
  })
  .strict()
  .parseAsync();

const name = options.name as string;
if (name === "control") {
  const slopes = await measureControl();
  process.stdout.write(`${slopesText(slopes)}\n${JSON.stringify({ bench: "control", slopes })}\n`);
} else if (name === "all") {
  const results: BenchResult[] = [];
  for (const bench of benches.values()) results.push(await bench(options.seed));
  await writeFile(options.html, resultsHtml(results));
  process.stdout.write(`${resultsText(results)}\n`);
  process.stdout.write(`${JSON.stringify({ bench: "all", seed: options.seed, results })}\n`);
} else {
  const result = await benches.get(name)?.(options.seed);
  if (result !== undefined)
    process.stdout.write(`${resultsText([result])}\n${JSON.stringify(result)}\n`);
}
