// Runs the tests and ends with the verdict of `verdict.mjs`, which passes over the tests that
// KNOWN-RED.txt lists. Arguments go to the test runner.
import { spawn, spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

const runner = spawn("npx", ["tap", "run", "--reporter=tap", ...process.argv.slice(2)], {
  stdio: ["ignore", "pipe", "inherit"],
});
const ended = new Promise((resolve) => {
  runner.once("close", (code) => resolve(code ?? 1));
});
const lines = [];
for await (const line of createInterface({ input: runner.stdout })) {
  lines.push(line);
  // One line for each file.
  if (/^(not )?ok /.test(line)) console.log(line);
}
const status = await ended;
const directory = mkdtempSync(join(tmpdir(), "run-tests-"));
const report = join(directory, "report.tap");
writeFileSync(report, `${lines.join("\n")}\n`);
const verdict = spawnSync("node", ["tools/verdict.mjs", report, String(status), "KNOWN-RED.txt"], {
  stdio: "inherit",
});
rmSync(directory, { recursive: true });
process.exit(verdict.status ?? 1);
