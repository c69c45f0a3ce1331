// Evaluates a TAP report: prints the failed tests and a final line of counts. Exits with 0
// when no test failed except those that KNOWN-RED.txt lists, and at least one passed. A file
// that failed without a failed test, and a non-zero status of the test run without a failed test,
// are errors.
import { existsSync, readFileSync } from "node:fs";

const [reportFile, status, knownFile] = process.argv.slice(2);
const report = readFileSync(reportFile, "utf8");
const knownFailures = existsSync(knownFile)
  ? readFileSync(knownFile, "utf8")
      .split("\n")
      .filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim())
  : [];

// Tests are the lines indented by one level, before the line of their file.
const results = report.split("\n").filter((line) => /^( {4})?(not )?ok \d+ - /.test(line));
const lines = results.filter((line) => line.startsWith(" "));
const getTestName = (line) =>
  line
    .replace(/^ *(not )?ok \d+ - /, "")
    .replace(/ # time=.*$/, "")
    .trim();
const passed = lines.filter((line) => /^ {4}ok/.test(line));
const failed = lines.filter((line) => /^ {4}not ok/.test(line)).map(getTestName);
const unexpected = failed.filter((name) => !knownFailures.includes(name));
const brokenFiles = [];
let hasFailedTest = false;
for (const line of results) {
  hasFailedTest ||= /^ {4}not ok/.test(line);
  if (line.startsWith(" ")) continue;
  if (line.startsWith("not ok") && !hasFailedTest) brokenFiles.push(getTestName(line));
  hasFailedTest = false;
}

for (const name of failed)
  console.log(`${knownFailures.includes(name) ? "known red" : "failed"}: ${name}`);
for (const name of brokenFiles) console.log(`failed without a failed test: ${name}`);
const isRunBroken = status !== "0" && failed.length === 0;
const hasFailed =
  unexpected.length > 0 || brokenFiles.length > 0 || isRunBroken || passed.length === 0;
if (hasFailed) console.log(report);
console.log(`${passed.length} passed, ${failed.length + brokenFiles.length} failed`);
process.exit(hasFailed ? 1 : 0);
