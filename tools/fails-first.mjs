// Mutation check: for each entry of mechanisms.json, disables the mechanism in the built
// code, runs its test and restores the code. Prints a table. Exits with 1 when a test
// passes without its mechanism or a mechanism's code is not found. An argument limits the
// run to the mechanisms whose text contains it.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const mechanisms = JSON.parse(readFileSync(new URL("mechanisms.json", import.meta.url), "utf8"));
const filter = process.argv[2];

function runTest(test) {
  const result = spawnSync(process.execPath, [`packages/${test}`], {
    encoding: "utf8",
    timeout: 300_000,
  });
  const failed = result.stdout
    .split("\n")
    .filter((line) => /^ {0,4}not ok \d+ - /.test(line))
    .map((line) => line.replace(/^ *not ok \d+ - /, "").replace(/ # time.*$/, ""));
  return { passed: result.status === 0, failed };
}

let faultCount = 0;
for (const { mechanism, file, find, replace, test } of mechanisms) {
  if (filter !== undefined && !mechanism.includes(filter)) continue;
  const path = `packages/${file}`;
  const code = readFileSync(path, "utf8");
  if (!code.includes(find)) {
    console.log(`NOT FOUND  ${mechanism}: ${find}`);
    faultCount += 1;
    continue;
  }
  try {
    writeFileSync(path, code.replace(find, replace));
    const result = runTest(test);
    if (result.passed) faultCount += 1;
    console.log(`${result.passed ? "PASSES" : "fails "}  ${mechanism}`);
    for (const name of result.failed.slice(0, 4)) console.log(`          ${name}`);
  } finally {
    writeFileSync(path, code);
  }
}
console.log(
  faultCount === 0
    ? "every test fails without its mechanism"
    : `${faultCount} mechanisms not found, or with a test that passes without them`,
);
process.exit(faultCount === 0 ? 0 : 1);
