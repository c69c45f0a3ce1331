// Shows that each proof fails without its mechanism: takes one mechanism at a time out
// of the built code, runs the proof, and puts the code back. Prints a table and exits 1
// when a proof passes all the same.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const mechanisms = JSON.parse(readFileSync(new URL("mechanisms.json", import.meta.url), "utf8"));
const only = process.argv[2];

function proof(test) {
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

let wrong = 0;
for (const { mechanism, file, find, replace, test } of mechanisms) {
  if (only !== undefined && !mechanism.includes(only)) continue;
  const path = `packages/${file}`;
  const code = readFileSync(path, "utf8");
  if (!code.includes(find)) {
    console.log(`NOT FOUND  ${mechanism}: ${find}`);
    wrong += 1;
    continue;
  }
  try {
    writeFileSync(path, code.replace(find, replace));
    const without = proof(test);
    if (without.passed) wrong += 1;
    console.log(`${without.passed ? "PASSES" : "fails "}  ${mechanism}`);
    for (const name of without.failed.slice(0, 4)) console.log(`          ${name}`);
  } finally {
    writeFileSync(path, code);
  }
}
console.log(wrong === 0 ? "every proof fails without its mechanism" : `${wrong} do not`);
process.exit(wrong === 0 ? 0 : 1);
