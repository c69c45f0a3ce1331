// Installs the locked dependencies when they are missing and builds the workspace, so
// that each command of the README works in a fresh clone.
import { existsSync } from "node:fs";
import { spawnSync } from "node:child_process";

const run = (command, ...args) => {
  const result = spawnSync(command, args, { stdio: "inherit" });
  if (result.status !== 0) process.exit(result.status ?? 1);
};

if (!existsSync("node_modules/.package-lock.json")) run("npm", "ci", "--no-audit", "--no-fund");
run("npx", "tsc", "-b");
