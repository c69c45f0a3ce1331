//! Follows a committed change until it is in force at every entry VM.
import { systemClock, type Milliseconds } from "@lovagebend/common";
import type { ControlClient, Status } from "./control-client.js";
import { ExitCode } from "./exit-code.js";
import { jsonText, type Output } from "./output.js";

const longestWait: Milliseconds = 7_000;
const pause: Milliseconds = 200;
const heardLimit: Milliseconds = 3_000;

/// Waits up to seven seconds. A change is accepted when every entry VM has it in
/// force; until then it is committed, and the entry VMs without it are named.
export async function waitUntilInForce(
  client: ControlClient,
  revision: number,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const begin = systemClock.monotonic();
  let reported = "";
  for (;;) {
    const status = await client.status();
    const elapsed = Math.round(systemClock.monotonic() - begin);
    const { having, lacking } = split(status, revision);
    const line = `revision ${revision} in force at ${having.length} of ${status.entryVms.length}`;
    if (lacking.length === 0 || elapsed >= longestWait) {
      const accepted = lacking.length === 0;
      if (asJson) output.print(jsonText({ revision, accepted, having, lacking, elapsed }));
      else
        output.print(
          accepted
            ? `accepted: ${line} after ${elapsed} ms`
            : `committed: ${line}, not at ${lacking.join(", ")}`,
        );
      return accepted ? ExitCode.Done : ExitCode.NotInForceEverywhere;
    }
    if (line !== reported) output.progress(`${line}, waiting for ${lacking.join(", ")}`);
    reported = line;
    await systemClock.sleep(pause);
  }
}

function split(status: Status, revision: number): { having: string[]; lacking: string[] } {
  const has = (entryVm: Status["entryVms"][number]): boolean =>
    (entryVm.revision ?? 0) >= revision && (entryVm.age ?? Infinity) <= heardLimit;
  const names = (entryVms: Status["entryVms"]): string[] => entryVms.map(({ name }) => name);
  return {
    having: names(status.entryVms.filter(has)),
    lacking: names(status.entryVms.filter((entryVm) => !has(entryVm))),
  };
}
