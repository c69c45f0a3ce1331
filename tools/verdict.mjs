// Reads a TAP report and KNOWN-RED.txt, prints what failed, and closes with a line
// of counts. Only failures that KNOWN-RED.txt names are passed over.
import { existsSync, readFileSync } from "node:fs";

const [reportFile, status, knownFile] = process.argv.slice(2);
const report = readFileSync(reportFile, "utf8");
const known = existsSync(knownFile)
  ? readFileSync(knownFile, "utf8")
      .split("\n")
      .filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim())
  : [];

// A test is an indented line one level below its file.
const lines = report.split("\n").filter((line) => /^ {4}(not )?ok \d+ - /.test(line));
const nameOf = (line) =>
  line
    .replace(/^ *(not )?ok \d+ - /, "")
    .replace(/ # time=.*$/, "")
    .trim();
const passed = lines.filter((line) => /^ {4}ok/.test(line));
const failed = lines.filter((line) => /^ {4}not ok/.test(line)).map(nameOf);
const unexpected = failed.filter((name) => !known.includes(name));

for (const name of failed) console.log(`${known.includes(name) ? "known red" : "failed"}: ${name}`);
const broken = status !== "0" && failed.length === 0;
if (unexpected.length > 0 || broken || passed.length === 0) console.log(report);
console.log(`${passed.length} passed, ${failed.length} failed`);
process.exit(unexpected.length > 0 || broken || passed.length === 0 ? 1 : 0);
